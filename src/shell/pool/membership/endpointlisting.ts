/** The endpoints that list themselves in the store, as known to this process. */

import { Directory } from '../../../core/directory/directory.ts'
import type { Endpoint } from '../../../core/directory/endpoint.ts'
import { MissingEndpoints } from '../../../core/directory/missingendpoints.ts'
import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { Log } from '../../log/log.ts'
import { clock } from '../clock.ts'
import type { Row } from '../../../core/pool/membership/row.ts'

interface Options {
  readonly log: Log
  readonly parse: (id: string, text: string) => Endpoint | undefined
  /** Called when the directory may have changed. `staleMs`: milliseconds for which the store may have had the change. */
  readonly onChange: (staleMs: number) => void
}

export class EndpointListing {
  private current = Directory.empty
  private missingEndpoints = MissingEndpoints.empty
  private wasRead = false

  private constructor (private readonly options: Options) {}

  static create (options: Options): EndpointListing {
    return new EndpointListing(options)
  }

  get directory (): Directory {
    return this.current
  }

  /** Whether the list was read at least once. */
  get isRead (): boolean {
    return this.wasRead
  }

  /** Takes in changed rows, including erased ones. `staleMs`: milliseconds for which the store may have had them. */
  applyRows (rows: readonly Row[], staleMs: number): void {
    for (const row of rows) this.applyRow(row)
    this.wasRead = true
    this.options.onChange(staleMs)
  }

  /** Removes endpoints whose rows were erased and didn't come back in time. Must be called regularly. */
  removeExpired (): void {
    const due = this.missingEndpoints.expired(clock.now())
    if (due.length === 0) return
    for (const id of due) this.remove(id)
    this.options.onChange(MissingEndpoints.graceMs)
  }

  private applyRow ({ key, value, version }: Row): void {
    const id = key as EndpointId
    if (value === undefined) return this.gone(id)
    const { log, parse } = this.options
    const endpoint = parse(key, value)
    if (endpoint === undefined) {
      log.write('endpointUnreadable', { endpoint: id, version })
      return this.remove(id)
    }
    const old = this.current.get(id)
    const isChanged = old === undefined || old.isLeaving !== endpoint.isLeaving || old.isPrimary !== endpoint.isPrimary || old.startedAtMs !== endpoint.startedAtMs
    if (isChanged) log.write('endpointListed', { endpoint: id, group: endpoint.group, isLeaving: endpoint.isLeaving, isPrimary: endpoint.isPrimary, version })
    this.missingEndpoints = this.missingEndpoints.without(id)
    this.current = this.current.with(endpoint, version)
  }

  private gone (id: EndpointId): void {
    const endpoint = this.current.get(id)
    if (endpoint === undefined) return
    this.options.log.write('endpointGone', { endpoint: id, group: endpoint.group, isLeaving: endpoint.isLeaving })
    if (endpoint.isLeaving) this.remove(id)
    else this.missingEndpoints = this.missingEndpoints.with(id, clock.now())
  }

  private remove (id: EndpointId): void {
    this.missingEndpoints = this.missingEndpoints.without(id)
    this.current = this.current.without(id)
  }
}
