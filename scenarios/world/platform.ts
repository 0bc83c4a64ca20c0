/** A fake platform: the table service with its failures, and the lagging list of hosts. */

import type { DataCentreId } from '../../src/core/id/datacentre.ts'
import type { HostId } from '../../src/core/id/host.ts'
import type { Row } from '../../src/shell/platform/row.ts'
import type { TableService } from '../../src/shell/platform/tableservice.ts'
import type { Clock } from './clock.ts'
import type { Node } from './node.ts'

interface Host {
  readonly id: HostId
  readonly peers: string
  readonly dataCentre: DataCentreId
  readonly state: 'live' | 'leaving'
}

type Mode =
  | { readonly kind: 'up' }
  | { readonly kind: 'down' }
  | { readonly kind: 'slow', readonly ms: number }
  /** Requests take effect and aren't answered. */
  | { readonly kind: 'losing answers' }

/** Runs a request at the store and brings the answer back, or rejects when there is none in time. */
type Reach = <T>(work: () => Promise<T>) => Promise<T>

export class Platform {
  mode: Mode = { kind: 'up' }
  private readonly rows = new Map<string, Row>()
  private hosts: readonly Host[] = []

  private constructor (readonly node: Node, private readonly clock: Clock) {}

  static create (node: Node, clock: Clock): Platform {
    return new Platform(node, clock)
  }

  get newestVersion (): number {
    return Number(this.partition('config').at(-1)?.sk ?? 0)
  }

  list (): readonly Host[] {
    return this.hosts
  }

  /** The list shows a change of hosts so much later. */
  useHosts (hosts: readonly Host[], lagMs: number): void {
    this.clock.after(lagMs, () => { this.hosts = hosts })
  }

  /** The table service as one client reaches it. */
  table (reach: Reach): TableService {
    const serve = async <T>(work: () => T): Promise<T> => await reach(async () => await this.serve(work))
    return {
      get: async (pk, sk) => await serve(() => this.rows.get(`${pk}/${sk}`)),
      create: async row => await serve(() => {
        const name = `${row.pk}/${row.sk}`
        if (this.rows.has(name)) return 'exists'
        this.rows.set(name, row)
        return 'created'
      }),
      replace: async (row, revision) => await serve(() => {
        const name = `${row.pk}/${row.sk}`
        if (this.rows.get(name)?.revision !== revision) return 'changed'
        this.rows.set(name, row)
        return 'replaced'
      }),
      newest: async pk => await serve(() => this.partition(pk).at(-1)),
      list: async (pk, after, most) => await serve(() => this.partition(pk).filter(row => row.sk > after).slice(0, most))
    }
  }

  private partition (pk: string): readonly Row[] {
    return [...this.rows.values()].filter(row => row.pk === pk).sort((a, b) => a.sk < b.sk ? -1 : 1)
  }

  private async serve<T> (work: () => T): Promise<T> {
    const { mode } = this
    if (mode.kind === 'down') return await new Promise(() => undefined)
    if (mode.kind === 'slow') await this.clock.sleep(mode.ms)
    const result = work()
    if (mode.kind === 'losing answers') return await new Promise(() => undefined)
    return result
  }
}
