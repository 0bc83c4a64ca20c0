/** Source of borrowed connections, to which they are returned. */

import type { Endpoint } from '../../../core/directory/endpoint.ts'
import type { EndpointLink } from './link.ts'
import type { PlaceTicket } from './placeticket.ts'

export interface ConnectionSource {
  readonly endpoint: Pick<Endpoint, 'id'>
  /** Requests a place at the endpoint for a statement on the connection; undefined if none is needed. */
  requestPlace (link: EndpointLink, remainingMs: number): PlaceTicket | undefined
  returnLink (link: EndpointLink): void
  /** Closes the idle connections, called after an answer timed out. */
  closeIdle (): void
}
