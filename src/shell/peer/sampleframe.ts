/** Converts samples to protocol frames and back. */

import { create } from '@bufbuild/protobuf'
import { SampleSchema, type Sample as SampleFrame } from '../../gen/peer_pb.ts'
import { TermHistory } from '../../core/termhistory.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import { Sample } from '../../core/group/sample.ts'

/** Encodes and decodes samples. The time `at` isn't sent, since the clocks of two hosts can't be compared. */
export const sampleFrame = {
  encode (sample: Sample): SampleFrame {
    return create(SampleSchema, {
      endpoint: sample.endpoint,
      role: sample.role,
      term: sample.term,
      lastTerm: sample.lastTerm,
      received: sample.received,
      applied: sample.applied,
      starts: sample.history.starts.map(({ term, position }) => ({ term, position })),
      queued: sample.queued,
      reachable: sample.reachable
    })
  },

  decode (frame: SampleFrame, at: Instant): Sample {
    return Sample.of({
      endpoint: frame.endpoint as EndpointId,
      role: frame.role as Sample['role'],
      term: frame.term as Term,
      lastTerm: frame.lastTerm as Term,
      received: frame.received as Position,
      applied: frame.applied as Position,
      history: TermHistory.of(frame.starts.map(start => ({ term: start.term as Term, position: start.position as Position }))),
      at,
      queued: frame.queued,
      reachable: frame.reachable
    })
  }
}
