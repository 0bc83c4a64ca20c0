/** The section of a configuration that defines the service levels of its pools. */

import * as z from 'zod'
import { parseDuration } from '../settings/duration.ts'

const within = z.string().transform((text, context): number => {
  const ms = parseDuration(text)
  if (ms.isOk()) return ms.value
  context.addIssue({ code: 'custom', message: ms.error })
  return z.NEVER
})

/** Written as `{ name, pool, measure, target, within? }`; `within` is for `urgentInTime` only. */
export const serviceLevels = z.array(z.strictObject({
  name: z.string().min(1),
  pool: z.string(),
  measure: z.enum(['urgentInTime', 'writesSucceed', 'stalenessKept', 'replicaShare']),
  target: z.number().gt(0, 'write a share above 0, such as 0.999').lt(1, 'write a share below 1, such as 0.999; a target of 1 leaves no budget'),
  within: within.optional()
}).transform(({ within: withinMs, ...level }) => ({ ...level, withinMs }))).default([])
