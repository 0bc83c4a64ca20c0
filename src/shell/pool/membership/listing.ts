/** The endpoints that list themselves in the store, as this process has heard of them. */

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
  /** The directory may have changed. */
  readonly onChange: () => void
}

export class Listing {
  private known = Directory.empty
  private lapses = MissingEndpoints.empty
  private wasRead = false

  private constructor (private readonly options: Options) {}

  static create (options: Options): Listing {
    return new Listing(options)
  }

  get directory (): Directory {
    return this.known
  }

  /** Whether the list was read once. */
  get isRead (): boolean {
    return this.wasRead
  }

  /** Rows that changed, erased ones among them. */
  take (rows: readonly Row[]): void {
    for (const row of rows) this.list(row)
    this.wasRead = true
    this.options.onChange()
  }

  /** To be called now and then: drops those that lapsed and didn't come back. */
  forgetLapsed (): void {
    const due = this.lapses.expired(clock.now())
    if (due.length === 0) return
    for (const id of due) this.forget(id)
    this.options.onChange()
  }

  private list ({ key, value, version }: Row): void {
    const id = key as EndpointId
    if (value === undefined) return this.gone(id)
    const { log, parse } = this.options
    const endpoint = parse(key, value)
    if (endpoint === undefined) {
      log.write('endpointUnreadable', { endpoint: id, version })
      return this.forget(id)
    }
    const old = this.known.get(id)
    const isNews = old === undefined || old.isLeaving !== endpoint.isLeaving || old.isPrimary !== endpoint.isPrimary || old.startedAtMs !== endpoint.startedAtMs
    if (isNews) log.write('endpointListed', { endpoint: id, group: endpoint.group, isLeaving: endpoint.isLeaving, isPrimary: endpoint.isPrimary, version })
    this.lapses = this.lapses.without(id)
    this.known = this.known.with(endpoint, version)
  }

  private gone (id: EndpointId): void {
    const endpoint = this.known.get(id)
    if (endpoint === undefined) return
    this.options.log.write('endpointGone', { endpoint: id, group: endpoint.group, isLeaving: endpoint.isLeaving })
    if (endpoint.isLeaving) this.forget(id)
    else this.lapses = this.lapses.with(id, clock.now())
  }

  private forget (id: EndpointId): void {
    this.lapses = this.lapses.without(id)
    this.known = this.known.without(id)
  }
}
