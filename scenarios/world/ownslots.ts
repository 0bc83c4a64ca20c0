/** What the peers of a process may ask of it: its own slots. */

import { create } from '@bufbuild/protobuf'
import { ConfirmedSchema } from '../../src/gen/peer_pb.ts'
import type { EndpointId } from '../../src/core/id/endpoint.ts'
import type { SlotOwner } from '../../src/shell/endpoint/owner.ts'
import { refusal } from '../../src/shell/peer/refusal.ts'
import type { SlotPort } from '../../src/shell/peer/slotport.ts'

export function ownSlots (owner: (endpoint: EndpointId) => SlotOwner | undefined, all: () => readonly SlotOwner[]): SlotPort {
  return {
    run: (req, sink) => {
      const held = owner(req.endpoint as EndpointId)
      if (held !== undefined) return held.run(req, sink)
      sink.done(refusal(req.id, 'noSlotOwner'))
      return { credit: () => undefined, cancel: () => undefined }
    },
    confirm: async (endpoint, term, position, ms) =>
      await owner(endpoint)?.confirm(term, position, ms) ?? create(ConfirmedSchema, { ok: false }),
    release: transaction => {
      for (const held of all()) held.release(transaction)
    }
  }
}
