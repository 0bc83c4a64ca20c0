/** Where one attempt of a request goes. */

import type { Run_Access as RunAccess } from '../../gen/peer_pb.ts'
import type { Evidence } from '../../core/audit/evidence.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { ReasonName } from '../../core/reasonname.ts'
import type { SlotPort } from '../peer/slotport.ts'

/** The endpoint and what has to be proved there; or why the request can go nowhere now. */
export type Target =
  | {
    readonly kind: 'endpoint'
    readonly endpoint: EndpointId
    readonly access: RunAccess
    /** The open transaction; empty outside of one. */
    readonly transaction: string
    /** What routing checked before it chose the endpoint. */
    readonly evidence?: Evidence
    /** The slot owner that holds the transaction's connection; any owner of the endpoint outside of one. */
    readonly port?: SlotPort
  }
  | { readonly kind: 'nowhere', readonly reason: ReasonName }
