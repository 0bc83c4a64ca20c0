/** A connection to an endpoint through another host, for one operation. */

import type { Endpoint } from '../../../core/directory/endpoint.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import type { ConnectionSource } from './connectionsource.ts'
import type { EndpointLink } from './link.ts'

/** The connection isn't reused: the endpoint may be reachable again, and the session values on the connection belong to one session. */
export class ForwardedSource implements ConnectionSource {
  private constructor (readonly endpoint: Pick<Endpoint, 'id'>) {}

  /** Log lines and audit records name the other host in place of the endpoint, since it's the one that was asked. */
  static by (host: PoolHost): ForwardedSource {
    return new ForwardedSource({ id: host.id as unknown as Endpoint['id'] })
  }

  /** None is needed here, since the other host requests the place. */
  requestPlace (): undefined {
    return undefined
  }

  returnLink (link: EndpointLink): void {
    link.close()
  }

  closeIdle (): void {
    // There are no idle connections.
  }
}
