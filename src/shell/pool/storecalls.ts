/** Tells the log what a process called of the store, by kind, so that the calls of a day add up from its logs alone. */

import type { Log } from '../log/log.ts'
import type { PoolMetrics } from './metrics.ts'

interface Options {
  readonly log: Log
  readonly metrics: PoolMetrics
}

/** A process that is killed leaves this much untold: as much as the records that it loses. */
const LOG_INTERVAL_MS = 10_000

/**
 * Each line holds all calls since the start, so that a lost line loses none. Kinds are the labels of the counter, which
 * come from closed lists; a process without calls since its last line writes none.
 */
export class StoreCalls {
  private readonly startedAt = Date.now()
  private lastLogged = ''

  private constructor (private readonly options: Options) {}

  static start (options: Options, signal: AbortSignal): StoreCalls {
    const it = new StoreCalls(options)
    const timer = setInterval(() => it.logChanges(), LOG_INTERVAL_MS)
    timer.unref()
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
    return it
  }

  /** The last line of the process. */
  async logLast (): Promise<void> {
    this.write(await this.read(), true)
  }

  private async logChanges (): Promise<void> {
    const calls = await this.read()
    if (calls !== this.lastLogged) this.write(calls, false)
  }

  private write (calls: string, isLast: boolean): void {
    this.lastLogged = calls
    this.options.log.write('storeCalls', { startedAt: this.startedAt, isLast, calls })
  }

  /** Such as `changes config reader 12, write roll roll 3`. */
  private async read (): Promise<string> {
    const { values } = await this.options.metrics.storeCalls.get()
    return values.map(({ labels: { call, table, why }, value }) => `${call} ${table} ${why} ${value}`).sort().join(', ')
  }
}
