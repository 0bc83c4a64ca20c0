/** A connection to an endpoint by way of another host, for one operation. */

import type { Endpoint } from '../../../core/directory/endpoint.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import type { Loans } from './loans.ts'
import type { EndpointLink } from './link.ts'

/** Nothing is kept for the next operation: the cut may be over, and the values on the connection are one session's. */
export class Detour implements Loans {
  private constructor (readonly endpoint: Pick<Endpoint, 'id'>) {}

  /** The endpoint goes by the host's name in lines and records, since the host is what this one asked. */
  static by (host: PoolHost): Detour {
    return new Detour({ id: host.id as unknown as Endpoint['id'] })
  }

  /** The other host looks after the places, since it's the one that sends the statement there. */
  enter (): undefined {
    return undefined
  }

  giveBack (link: EndpointLink): void {
    link.close()
  }

  distrust (): void {
    // There are no other connections that could be silent as well.
  }
}
