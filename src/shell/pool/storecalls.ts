/** Logs how many store calls of each kind this process made, so that a day's calls can be counted from the logs alone. */

import type { Log } from '../log/log.ts'
import type { PoolMetrics } from './metrics.ts'

interface Options {
  readonly log: Log
  readonly metrics: PoolMetrics
}

/** A process that is killed loses the counts of this interval, as it loses its last audit records. */
const LOG_INTERVAL_MS = 10_000

/**
 * Each line holds the totals since the start of the process, so that a lost line loses no counts. Kinds are the label
 * values of the counter. Nothing is logged while the totals don't change.
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

  /** Logs the final totals when the process ends. */
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

  /** Totals by kind, such as `changes config reader 12, write roll roll 3`. */
  private async read (): Promise<string> {
    const { values } = await this.options.metrics.storeCalls.get()
    return values.map(({ labels: { call, table, why }, value }) => `${call} ${table} ${why} ${value}`).sort().join(', ')
  }
}
