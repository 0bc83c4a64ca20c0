/** The target of one attempt of a request. */

import type { Run_Access as RunAccess } from '../../gen/peer_pb.ts'
import type { Evidence } from '../../core/audit/evidence.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { ReasonName } from '../../core/reasonname.ts'
import type { SlotPort } from '../peer/slotport.ts'

/** The endpoint and the access to request there, or the reason why no endpoint is available now. */
export type Target =
  | {
    readonly kind: 'endpoint'
    readonly endpoint: EndpointId
    readonly access: RunAccess
    /** Id of the open transaction; empty outside a transaction. */
    readonly transaction: string
    /** What routing checked when it chose the endpoint, for the audit record. */
    readonly evidence?: Evidence
    /** The slot owner that holds the transaction's connection; undefined outside a transaction, where any owner of the endpoint will do. */
    readonly port?: SlotPort
  }
  | { readonly kind: 'nowhere', readonly reason: ReasonName }
