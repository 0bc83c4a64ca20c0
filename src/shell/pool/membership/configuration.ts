/** The operator's configuration in force in this process. */

import type { Result } from 'neverthrow'
import type { ConfigVersion } from '../../../core/id/version.ts'
import { PoolConfig } from '../../../core/pool/config.ts'
import type { Log } from '../../log/log.ts'
import type { PoolMetrics } from '../metrics.ts'
import type { Row } from '../../../core/pool/membership/row.ts'

interface Options {
  readonly log: Log
  readonly metrics: PoolMetrics
  /** The key of the row that holds the newest version. */
  readonly key: string
  readonly parse: (text: string) => Result<PoolConfig, string>
}

const EMPTY = PoolConfig.of({ version: 0 as ConfigVersion, routes: [], groups: [], idleTransactionMs: 0 })

export class Configuration {
  private current = EMPTY
  private wasRead = false

  private constructor (private readonly options: Options) {}

  static create (options: Options): Configuration {
    return new Configuration(options)
  }

  /** The configuration in force; one without databases until the first is read. */
  get config (): PoolConfig {
    return this.current
  }

  get isKnown (): boolean {
    return this.wasRead
  }

  /** Applies the configuration if it's newer than the one in force; returns whether it was. Older versions are ignored. */
  apply (rows: readonly Row[]): boolean {
    const { log, metrics, key, parse } = this.options
    const newest = rows.findLast(row => row.key === key)
    if (newest?.value === undefined) return false
    const parsed = parse(newest.value)
    if (parsed.isErr()) {
      log.write('configUnreadable', { problem: parsed.error })
      return false
    }
    const { value: config } = parsed
    if (config.version <= this.current.version) return false
    this.current = config
    this.wasRead = true
    metrics.configVersion.set(config.version)
    log.write('configApplied', { version: config.version, databases: config.routes.length })
    return true
  }
}
