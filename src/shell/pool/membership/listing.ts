/** The endpoints that list themselves in the store, as this process has heard of them. */

import { Directory } from '../../../core/directory/directory.ts'
import type { Endpoint } from '../../../core/directory/endpoint.ts'
import { Lapses } from '../../../core/directory/lapses.ts'
import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { Log } from '../../log/log.ts'
import { clock } from '../clock.ts'
import type { KnownRow } from './knownrow.ts'
import type { Row } from './row.ts'

interface Options {
  readonly log: Log
  readonly parse: (id: string, text: string) => Endpoint | undefined
  /** The directory may have changed. */
  readonly onChange: () => void
}

export class Listing {
  private known = Directory.empty
  private lapses = Lapses.empty
  private wasRead = false
  /** The rows behind the directory, as the store gave them. */
  private readonly taken = new Map<EndpointId, KnownRow>()

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

  get rows (): readonly KnownRow[] {
    return [...this.taken.values()]
  }

  /** `isWhole`: the rows are all there are; else they are changes. */
  take (rows: readonly Row[], isWhole: boolean): void {
    const present = new Set(rows.map(({ key }) => key))
    const missing = isWhole ? this.known.ids.filter(id => !present.has(id)) : []
    for (const id of missing) this.gone(id)
    for (const row of rows) this.list(row)
    this.wasRead = true
    this.options.onChange()
  }

  /** To be called now and then: drops those that lapsed and didn't come back. */
  forgetLapsed (): void {
    const due = this.lapses.due(clock.now())
    if (due.length === 0) return
    for (const id of due) this.forget(id)
    this.options.onChange()
  }

  private list ({ key, value, version }: Row): void {
    const id = key as EndpointId
    if (value === undefined) return this.gone(id)
    const { log, parse } = this.options
    const endpoint = parse(key, value)
    if (endpoint === undefined) return log.write('endpointUnreadable', { endpoint: id, version })
    const old = this.known.get(id)
    const isNews = old === undefined || old.isLeaving !== endpoint.isLeaving || old.isPrimary !== endpoint.isPrimary
    if (isNews) log.write('endpointListed', { endpoint: id, group: endpoint.group, isLeaving: endpoint.isLeaving, isPrimary: endpoint.isPrimary, version })
    this.taken.set(id, { key, value, version })
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
    this.taken.delete(id)
    this.known = this.known.without(id)
  }
}
