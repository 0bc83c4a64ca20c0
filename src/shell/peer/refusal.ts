/** Builds the final frame of a request that the proxy refuses. */

import { create } from '@bufbuild/protobuf'
import { Done_Outcome as DoneOutcome, DoneSchema, type Done } from '../../gen/peer_pb.ts'
import { reasons } from '../../core/reason.ts'
import type { ReasonName } from '../../core/reasonname.ts'

/** The outcome is "not run" only if the reason proves it, otherwise "unknown". */
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
