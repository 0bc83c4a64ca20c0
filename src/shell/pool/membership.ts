/** Keeps this host's row in the table of hosts, and knows the others by theirs. */

import { setTimeout as pause } from 'node:timers/promises'
import type { HostId } from '../../core/id/host.ts'
import { Hosts } from '../../core/pool/hosts.ts'
import { clock } from './clock.ts'
import type { RowStore } from './rows.ts'

interface Options {
  readonly host: HostId
  readonly store: RowStore
  /** The table that all hosts share. */
  readonly table: string
  readonly chance: () => number
  readonly onChange: () => void
}

/** Shares of connections change with the hosts; a dead host's share lies idle until its row is this old, and calls to the store are counted. */
const RENEW_MS = 20_000
/** Three renewals, so that a store that is away for one takes nobody out. */
const ALIVE_MS = 3 * RENEW_MS
/** After a failed write. */
const RETRY_MS = 1000

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
    const { store, table, host, chance } = this.options
    while (!signal.aborted) {
      const renewed = await store.change([{ table, key: keyOf(host), value: '{}' }], signal)
      const ms = renewed.isOk() ? RENEW_MS : RETRY_MS
      await pause(ms * (1 + chance()) / 2, undefined, { signal }).catch(() => 'the signal ends the loop')
      this.options.onChange()
    }
  }

  async leave (signal: AbortSignal): Promise<void> {
    const { store, table, host } = this.options
    await store.change([{ table, key: keyOf(host), value: undefined }], signal)
  }

  /** A host's row changed; undefined when the host took it away. */
  rowChanged (host: HostId, value: string | undefined, version: number): void {
    this.known = value === undefined ? this.known.without(host) : this.known.with(host, version, clock.age())
    this.options.onChange()
  }
}

function keyOf (host: HostId): string {
  return `host/${host}`
}
