/** A fake platform: the table service with its failures, and the lagging list of hosts. */

import type { DataCentreId } from '../../src/core/id/datacentre.ts'
import type { HostId } from '../../src/core/id/host.ts'
import type { Clock } from './clock.ts'
import type { Node } from './node.ts'

interface Row {
  readonly version: number
  readonly body: string
}

interface Host {
  readonly id: HostId
  readonly dataCentre: DataCentreId
  readonly state: 'live' | 'leaving'
}

type Mode =
  | { readonly kind: 'up' }
  | { readonly kind: 'down' }
  | { readonly kind: 'slow', readonly ms: number }
  /** Requests take effect and aren't answered. */
  | { readonly kind: 'losing answers' }

export class Platform {
  mode: Mode = { kind: 'up' }
  private readonly configs: Row[] = []
  private hosts: readonly Host[] = []

  private constructor (readonly node: Node, private readonly clock: Clock) {}

  static create (node: Node, clock: Clock): Platform {
    return new Platform(node, clock)
  }

  /** The highest version so far. */
  get version (): number {
    return this.configs.at(-1)?.version ?? 0
  }

  async newest (): Promise<Row | undefined> {
    return await this.serve(() => this.configs.at(-1))
  }

  async create (row: Row): Promise<'created' | 'exists'> {
    return await this.serve(() => {
      if (this.version >= row.version) return 'exists'
      this.configs.push(row)
      return 'created'
    })
  }

  list (): readonly Host[] {
    return this.hosts
  }

  /** The list shows a change of hosts so much later. */
  useHosts (hosts: readonly Host[], lagMs: number): void {
    this.clock.after(lagMs, () => { this.hosts = hosts })
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
