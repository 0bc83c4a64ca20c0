/** Callers that write numbered rows through every proxy of a stage, and remember what they were told. */

import type { Connection, RowDataPacket } from 'mysql2/promise'
import { connectCaller } from '../../standin/caller.ts'
import type { Stage } from '../../standin/stage.ts'

interface Told {
  readonly acknowledged: readonly string[]
  /** Requests that ended in an error, by its number. */
  readonly errors: Readonly<Record<number, number>>
}

const PAUSE_MS = 5

export class Callers {
  private readonly acknowledged: string[] = []
  private readonly notRun: string[] = []
  private readonly errors: Record<number, number> = {}
  private isOver = false
  private running: readonly Promise<void>[] = []
  /** When each write was acknowledged, and when it was asked for. */
  readonly times: { readonly proxy: number, readonly asked: number, readonly done: number }[] = []

  private constructor (private readonly stage: Stage) {}

  /** One caller writes through each of the proxies named by their numbers. */
  static async start (stage: Stage, proxies: readonly number[]): Promise<Callers> {
    const it = new Callers(stage)
    const first = await it.connect(proxies[0]!)
    // A proxy that is just up may not have heard of the primary yet.
    while (!await first.query('CREATE TABLE IF NOT EXISTS crimp (id TEXT)').then(() => true, () => false)) await pause(PAUSE_MS)
    await first.end()
    it.running = proxies.map(async proxy => await it.write(proxy))
    return it
  }

  get count (): number {
    return this.acknowledged.length
  }

  /** Resolves when so many more writes are acknowledged. */
  async progress (more: number): Promise<void> {
    const end = this.count + more
    while (this.count < end) await pause(PAUSE_MS)
  }

  /** When the proxy first acknowledged a write that it was asked for after `since`. */
  resumed (proxy: number, since: number): number {
    return this.times.find(one => one.proxy === proxy && one.asked > since)?.done ?? Infinity
  }

  async stop (): Promise<Told> {
    this.isOver = true
    await Promise.all(this.running)
    return { acknowledged: this.acknowledged, errors: this.errors }
  }

  /** What is wrong with the rows that a strict read finds through the proxy, in words. */
  async faults (proxy: number): Promise<readonly string[]> {
    const connection = await this.connect(proxy)
    const [rows] = await connection.query<RowDataPacket[]>('/* agatepond read=crimp */ SELECT id FROM crimp')
    await connection.end()
    const counts = new Map<string, number>()
    for (const row of rows) counts.set(String(row.id), (counts.get(String(row.id)) ?? 0) + 1)
    return [
      ...this.acknowledged.filter(id => !counts.has(id)).map(id => `${id} was acknowledged and is lost`),
      ...this.notRun.filter(id => counts.has(id)).map(id => `${id} was told as not run and is there`),
      ...[...counts].filter(([, count]) => count > 1).map(([id]) => `${id} is there twice`)
    ]
  }

  async connect (proxy: number): Promise<Connection> {
    const connection = await connectCaller(this.stage, proxy)
    connection.on('error', () => undefined)
    return connection
  }

  private async write (proxy: number): Promise<void> {
    let connection: Connection | undefined
    for (let i = 0; !this.isOver; i++) {
      const id = `${proxy}-${i}`
      const asked = performance.now()
      try {
        connection ??= await this.connect(proxy)
        await connection.query(`INSERT INTO crimp VALUES ('${id}')`)
        this.acknowledged.push(id)
        this.times.push({ proxy, asked, done: performance.now() })
      } catch (err) {
        this.note(id, err as { errno?: number, message: string })
        if (err instanceof Error && !('sqlState' in err)) {
          connection?.destroy()
          connection = undefined
        }
        await pause(PAUSE_MS)
      }
      await pause(PAUSE_MS)
    }
    connection?.destroy()
  }

  private note (id: string, err: { readonly errno?: number, readonly message: string }): void {
    const errno = err.errno ?? 0
    this.errors[errno] = (this.errors[errno] ?? 0) + 1
    if (/try again|come back|run it again/.test(err.message)) this.notRun.push(id)
  }
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}
