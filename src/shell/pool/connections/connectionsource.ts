/** Where a connection on loan comes from. */

import type { Endpoint } from '../../../core/directory/endpoint.ts'
import type { EndpointLink } from './link.ts'
import type { PlaceTicket } from './placeticket.ts'

export interface ConnectionSource {
  readonly endpoint: Pick<Endpoint, 'id'>
  /** Asks for a place at the endpoint for a statement on the connection; undefined where none is needed. */
  requestPlace (link: EndpointLink, leftMs: number): PlaceTicket | undefined
  returnLink (link: EndpointLink): void
  /** One connection gave no answer in time, so the unused ones may be silent as well. */
  closeIdle (): void
}
