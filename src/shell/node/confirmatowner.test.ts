/** Which owner of a slot is asked for a confirmation while slots move. */

import { create } from '@bufbuild/protobuf'
import { describe, expect, it } from 'vitest'
import { ConfirmedSchema } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { SlotPort } from '../peer/slotport.ts'
import { confirmAtOwner } from './confirmatowner.ts'

const question = { endpoint: 'e' as EndpointId, term: 1 as Term, position: 1 as Position, ms: 60_000 }

/** An owner that answers `ok`; `then` is called before the answer and may move the slot. */
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

// If the refusal of a slot owner that has just handed the slot over were taken as the answer, the caller of a write
// that succeeded would get "outcome unknown".
describe('a confirmation', () => {
  it('goes to the new owner when the old one has handed the slot over', async () => {
    let port: SlotPort | undefined
    const next = owner(true)
    port = owner(false, () => { port = next })
    expect((await confirmAtOwner(question, () => port)).ok).toBe(true)
  })

  it('waits while no process holds the slot', async () => {
    const ports = [undefined, undefined, owner(true)]
    expect((await confirmAtOwner(question, () => ports.length > 1 ? ports.shift() : ports[0])).ok).toBe(true)
  })

  it('is refused at once when the owner that refuses still holds the slot', async () => {
    const port = owner(false)
    expect((await confirmAtOwner(question, () => port)).ok).toBe(false)
  })
})
