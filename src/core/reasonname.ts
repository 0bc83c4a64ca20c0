/** The name of a typed refusal. */

import type { reasons } from './reason.ts'

export type ReasonName = keyof typeof reasons
