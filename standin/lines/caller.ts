/** A caller of the line protocol, for tests. */

import { connect, type Socket } from 'node:net'

/** One session. Answers come in the order of the statements. */
export class LineCaller {
  private rest = ''
  private lines: string[] = []
  private wake: (() => void) | undefined
  private ended = false

  private constructor (private readonly socket: Socket) {
    socket.on('data', chunk => {
      const parts = (this.rest + chunk.toString('latin1')).split('\r\n')
      this.rest = parts.pop()!
      this.lines.push(...parts)
      this.wake?.()
    })
    const end = () => {
      this.ended = true
      this.wake?.()
    }
    socket.on('error', end)
    socket.on('close', end)
  }

  /** The answer to the sign-in is the first that `answer` yields. */
  static open (port: number, database: string, who = 'u1'): LineCaller {
    const caller = new LineCaller(connect(port, '127.0.0.1'))
    caller.send(`START ${database} ${who}\r\n`)
    return caller
  }

  send (text: string): void {
    this.socket.write(text, 'latin1')
  }

  /** The lines up to the next READY, joined by ` / `; `closed` at the end of the connection. */
  async answer (): Promise<string> {
    const taken: string[] = []
    for (;;) {
      const line = this.lines.shift()
      if (line !== undefined) {
        taken.push(line)
        if (line.startsWith('READY ')) return taken.join(' / ')
        continue
      }
      if (this.ended) return [...taken, 'closed'].join(' / ')
      await new Promise<void>(resolve => { this.wake = resolve })
    }
  }

  /** Sends a statement and waits for its answer. */
  async ask (id: string, text: string): Promise<string> {
    this.send(`QUERY ${id} ${text}\r\n`)
    return await this.answer()
  }

  /** Sends statements one after the other, under one id. */
  async askAll (...texts: string[]): Promise<string[]> {
    const answers: string[] = []
    for (const text of texts) answers.push(await this.ask('q1', text))
    return answers
  }

  leave (): void {
    this.socket.destroy()
  }
}
