/** Keeps this host's row in the table of hosts, and knows the others by theirs. */

import { setTimeout as pause } from 'node:timers/promises'
import * as z from 'zod'
import type { DataCentreId } from '../../../core/id/datacentre.ts'
import type { HostId } from '../../../core/id/host.ts'
import { Hosts } from '../../../core/pool/placing/hosts.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import { readJson } from '../../../core/readjson.ts'
import { clock } from '../clock.ts'
import type { RowStore } from './rows.ts'

interface Options {
  readonly self: PoolHost
  readonly store: RowStore
  readonly chance: () => number
  /** The hosts that are alive may have changed. */
  readonly onChange: () => void
}

const TABLE = 'agatepond-hosts'
/** Hosts change a few times a day, and a dead one costs an idle share of connections at most, so calls to the store, which are counted, are saved. */
const RENEW_MS = 20_000
/** Three renewals, so that a store that is away for one takes nobody out. */
const ALIVE_MS = 3 * RENEW_MS
/** After a failed write. */
const RETRY_MS = 1000
/** Hosts that start together have written their rows within this time, so the second look shows them all. */
const SETTLED_MS = 2000

const shape = z.object({ dataCentre: z.string(), ip: z.string(), port: z.int(), knowledgePort: z.int() })

/**
 * Reads the whole table now and then in place of following it: each renewal of
 * each host would else wake all others, a cost that grows with the square of the hosts.
 */
export class Membership {
  /** Where the hosts' rows lie. */
  static readonly table = TABLE
  private known = Hosts.empty
  private wasAsked = false

  private constructor (private readonly options: Options) {}

  static create (options: Options): Membership {
    return new Membership(options)
  }

  /** This host among them, whatever the table says; in the order of their ids. */
  get hosts (): readonly PoolHost[] {
    const { self } = this.options
    const others = this.known.alive(ALIVE_MS, clock.age()).filter(({ id }) => id !== self.id)
    return [...others, self].sort((a, b) => a.id < b.id ? -1 : 1)
  }

  /** Whether the table was read once, or the store had no answer when it was asked for it. */
  get isAsked (): boolean {
    return this.wasAsked
  }

  async run (signal: AbortSignal): Promise<void> {
    const { store, self, chance } = this.options
    const { dataCentre, address, knowledgePort } = self
    const value = JSON.stringify({ dataCentre, ...address, knowledgePort })
    let isSettled = false
    while (!signal.aborted) {
      // Together, since a process that starts needs the others at once: they may have been there before it.
      const [renewed, isRead] = await Promise.all([store.change([{ table: TABLE, key: self.id, value }], signal), this.read(signal)])
      const ms = renewed.isErr() || !isRead ? RETRY_MS : isSettled ? RENEW_MS : SETTLED_MS
      isSettled ||= renewed.isOk() && isRead
      await pause(ms * (1 + chance()) / 2, undefined, { signal }).catch(() => 'the signal ends the loop')
    }
  }

  async leave (signal: AbortSignal): Promise<void> {
    const { store, self } = this.options
    await store.change([{ table: TABLE, key: self.id, value: undefined }], signal)
  }

  private async read (signal: AbortSignal): Promise<boolean> {
    const read = await this.options.store.read(TABLE, signal)
    this.wasAsked = true
    if (read.isErr()) {
      this.options.onChange()
      return false
    }
    this.known = read.value.rows.reduce((known, { key, value, version }) => {
      const parsed = shape.safeParse(readJson(value ?? 'null'))
      if (!parsed.success) return known
      const { dataCentre, ip, port, knowledgePort } = parsed.data
      return known.with({ id: key as HostId, dataCentre: dataCentre as DataCentreId, address: { ip, port }, knowledgePort }, version, clock.age())
    }, this.known.only(read.value.rows.map(({ key }) => key as HostId)))
    this.options.onChange()
    return true
  }
}
