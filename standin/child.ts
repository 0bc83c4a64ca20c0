/** One child process of a stage. */

import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

/**
 * Whatever still runs when this process ends. Against children that outlive a
 * test or demo that failed half way: nobody is left who knows of them.
 */
const running = new Set<ChildProcess>()
process.once('exit', () => { for (const one of running) one.kill('SIGKILL') })
process.once('SIGTERM', () => process.exit(1))

/** Starts a bundled program, collects its output, and stops it. */
export class Child {
  readonly lines: string[] = []

  private constructor (readonly name: string, private readonly process: ChildProcess) {}

  /** Resolves when a line of its output matches `ready`; rejects when it ends before. */
  static async start (name: string, args: readonly string[], ready: RegExp, env: Readonly<Record<string, string>> = {}): Promise<Child> {
    const process_ = spawn(process.execPath, [...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, AWS_ACCESS_KEY_ID: 'local', AWS_SECRET_ACCESS_KEY: 'local', ...env }
    })
    running.add(process_)
    process_.once('exit', () => running.delete(process_))
    const it = new Child(name, process_)
    await new Promise<void>((resolve, reject) => {
      const take = (line: string): void => {
        it.lines.push(line)
        if (ready.test(line)) resolve()
      }
      createInterface({ input: process_.stdout! }).on('line', take)
      createInterface({ input: process_.stderr! }).on('line', take)
      process_.once('exit', code => reject(new Error(`${name} ended with ${code}: ${it.lines.slice(-5).join('\n')}`)))
    })
    return it
  }

  get isRunning (): boolean {
    return this.process.exitCode === null && this.process.signalCode === null
  }

  signal (name: NodeJS.Signals): void {
    this.process.kill(name)
  }

  /** Sends the signal and resolves with the exit code when the process has ended. */
  async end (name: NodeJS.Signals): Promise<number | null> {
    if (!this.isRunning) return this.process.exitCode
    const ended = new Promise<number | null>(resolve => this.process.once('exit', resolve))
    this.process.kill(name)
    // A stopped process takes no other signal but SIGKILL until it's continued.
    this.process.kill('SIGCONT')
    return await ended
  }
}
