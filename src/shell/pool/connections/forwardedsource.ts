/** A connection to an endpoint by way of another host, for one operation. */

import type { Endpoint } from '../../../core/directory/endpoint.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import type { ConnectionSource } from './connectionsource.ts'
import type { EndpointLink } from './link.ts'

/** Nothing is kept for the next operation: the cut may be over, and the values on the connection are one session's. */
export class ForwardedSource implements ConnectionSource {
  private constructor (readonly endpoint: Pick<Endpoint, 'id'>) {}

  /** The endpoint goes by the host's name in lines and records, since the host is what this one asked. */
  static by (host: PoolHost): ForwardedSource {
    return new ForwardedSource({ id: host.id as unknown as Endpoint['id'] })
  }

  /** The other host looks after the places, since it's the one that sends the statement there. */
  requestPlace (): undefined {
    return undefined
  }

  returnLink (link: EndpointLink): void {
    link.close()
  }

  closeIdle (): void {
    // There are no other connections that could be silent as well.
  }
}
