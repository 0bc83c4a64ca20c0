/** Keeps this host's row in the table of hosts, and knows the others by theirs. */

import { setTimeout as pause } from 'node:timers/promises'
import type { HostId } from '../../core/id/host.ts'
import { Hosts } from '../../core/pool/hosts.ts'
import type { Log } from '../log/log.ts'
import { clock } from './clock.ts'
import { follow } from './feed.ts'
import type { RowStore } from './rows.ts'

interface Options {
  readonly host: HostId
  readonly store: RowStore
  readonly log: Log
  readonly chance: () => number
  readonly onChange: () => void
}

const TABLE = 'agatepond-hosts'
/** Shares of connections change with the hosts; a dead host's share lies idle until its row is this old, and calls to the store are counted. */
const RENEW_MS = 20_000
/** Three renewals, so that a store that is away for one takes nobody out. */
const ALIVE_MS = 3 * RENEW_MS
/** After a failed write. */
const RETRY_MS = 1000
/** The table changes with hosts alone, and nothing urgent follows from it. */
const WAIT_MS = 20_000

export class Membership {
  private known = Hosts.empty

  private constructor (private readonly options: Options) {}

  static create (options: Options): Membership {
    return new Membership(options)
  }

  /** This host among them, whatever the table says. */
  get hosts (): readonly HostId[] {
    return [...new Set([...this.known.alive(ALIVE_MS, clock.age()), this.options.host])].sort()
  }

  async run (signal: AbortSignal): Promise<void> {
    const { store, log, chance } = this.options
    follow({ store, table: TABLE, waitMs: WAIT_MS, log, chance, onRows: rows => this.take(rows) }, signal)
    while (!signal.aborted) {
      const renewed = await store.change([{ table: TABLE, key: this.options.host, value: '{}' }], signal)
      const ms = renewed.isOk() ? RENEW_MS : RETRY_MS
      await pause(ms * (1 + chance()) / 2, undefined, { signal }).catch(() => 'the signal ends the loop')
      this.options.onChange()
    }
  }

  async leave (signal: AbortSignal): Promise<void> {
    await this.options.store.change([{ table: TABLE, key: this.options.host, value: undefined }], signal)
  }

  private take (rows: ReadonlyArray<{ readonly key: string, readonly value: string | undefined, readonly version: number }>): void {
    for (const { key, value, version } of rows) {
      const host = key as HostId
      this.known = value === undefined ? this.known.without(host) : this.known.with(host, version, clock.age())
    }
    this.options.onChange()
  }
}
