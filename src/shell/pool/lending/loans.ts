/** Where a connection on loan comes from. */

import type { Endpoint } from '../../../core/directory/endpoint.ts'
import type { EndpointLink } from './link.ts'

export interface Loans {
  readonly endpoint: Pick<Endpoint, 'id'>
  giveBack (link: EndpointLink): void
  /** One connection gave no answer in time, so the unused ones may be silent as well. */
  distrust (): void
}
