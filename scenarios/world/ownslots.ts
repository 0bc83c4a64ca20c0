/** What the peers of a process may ask of it: its own slots. */

import { create } from '@bufbuild/protobuf'
import { ConfirmedSchema } from '../../src/gen/peer_pb.ts'
import type { EndpointId } from '../../src/core/id/endpoint.ts'
import { Token } from '../../src/core/token.ts'
import { refusal } from '../../src/shell/peer/answer.ts'
import type { SlotPort } from '../../src/shell/peer/port.ts'
import type { Owner } from './owner.ts'

export function ownSlots (owners: ReadonlyMap<EndpointId, Owner>): SlotPort {
  return {
    run: (req, sink) => {
      const owner = owners.get(req.endpoint as EndpointId)
      if (owner !== undefined) return owner.run(req, sink)
      sink.done(refusal(req.id, 'noSlotOwner'))
      return { credit: () => undefined, cancel: () => undefined }
    },
    confirm: async (endpoint, term, position, ms) => {
      const sample = await owners.get(endpoint)?.confirm(Token.of(term, position), ms)
      if (sample === undefined) return create(ConfirmedSchema, { ok: false })
      return create(ConfirmedSchema, { ok: true, term: sample.term, received: sample.received, applied: sample.applied })
    },
    release: transaction => {
      for (const owner of owners.values()) owner.release(transaction)
    }
  }
}
