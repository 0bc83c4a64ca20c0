/** Builds the last frame of a request. */

import { create } from '@bufbuild/protobuf'
import { Done_Outcome as DoneOutcome, DoneSchema, type Done } from '../../gen/peer_pb.ts'
import { reasons } from '../../core/reason.ts'
import type { ReasonName } from '../../core/reasonname.ts'

/** A refusal of the proxy's own. "Not run" only where the reason proves it. */
export function refusal (id: number, name: ReasonName, detail = '', retryAfterMs = 0): Done {
  const { code, message, provesNotRun } = reasons[name]
  return create(DoneSchema, {
    id,
    outcome: provesNotRun ? DoneOutcome.NOT_RUN : DoneOutcome.UNKNOWN,
    code,
    message: detail === '' ? message : `${message} (${detail})`,
    reason: name,
    retryAfterMs
  })
}
