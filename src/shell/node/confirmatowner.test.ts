/** Which owner of a slot is asked for a confirmation when slots move. */

import { create } from '@bufbuild/protobuf'
import { describe, expect, it } from 'vitest'
import { ConfirmedSchema } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { SlotPort } from '../peer/slotport.ts'
import { confirmAtOwner } from './confirmatowner.ts'

const question = { endpoint: 'e' as EndpointId, term: 1 as Term, position: 1 as Position, ms: 60_000 }

/** An owner that answers so, after which the slot is somebody else's. */
function owner (ok: boolean, then: () => void = () => undefined): SlotPort {
  return {
    run: () => { throw new Error('not asked') },
    release: () => undefined,
    confirm: async () => {
      then()
      return create(ConfirmedSchema, { ok })
    }
  }
}

// A write is at its endpoints and waits for its confirmation while one proxy leaves. The slot that was asked has just
// been handed over, so its old owner says no; taken at its word, the caller of a good write is told "outcome unknown".
describe('a confirmation', () => {
  it('is asked of the slot\'s new owner when the old one has left it', async () => {
    let port: SlotPort | undefined
    const next = owner(true)
    port = owner(false, () => { port = next })
    expect((await confirmAtOwner(question, () => port)).ok).toBe(true)
  })

  it('waits while nobody holds the slot', async () => {
    const ports = [undefined, undefined, owner(true)]
    expect((await confirmAtOwner(question, () => ports.length > 1 ? ports.shift() : ports[0])).ok).toBe(true)
  })

  it('is refused at once by an owner that stays', async () => {
    const port = owner(false)
    expect((await confirmAtOwner(question, () => port)).ok).toBe(false)
  })
})
