/** Asks the current owner of an endpoint's slot to confirm a position, also when the slot moves meanwhile. */

import { create } from '@bufbuild/protobuf'
import { ConfirmedSchema, type Confirmed } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { SlotPort } from '../peer/slotport.ts'

interface ConfirmRequest {
  readonly endpoint: EndpointId
  readonly term: Term
  readonly position: Position
  readonly ms: number
}

/** How long to wait before looking up the slot's owner again. */
const OWNER_POLL_MS = 20

/**
 * Confirms the position with the owner that `port` returns, for at most `ms`.
 * A refusal counts only if the same owner still holds the slot. One that has
 * handed it over meanwhile refuses for itself, which says nothing of the write,
 * so the new owner is asked.
 */
export async function confirmAtOwner ({ endpoint, term, position, ms }: ConfirmRequest, port: () => SlotPort | undefined): Promise<Confirmed> {
  const end = performance.now() + ms
  for (;;) {
    const asked = port()
    const left = Math.ceil(end - performance.now())
    if (left <= 0) return create(ConfirmedSchema, { ok: false })
    const answer = await asked?.confirm(endpoint, term, position, left)
    if (answer?.ok === true) return answer
    if (answer !== undefined && port() === asked) return answer
    await new Promise(resolve => { setTimeout(resolve, OWNER_POLL_MS) })
  }
}
