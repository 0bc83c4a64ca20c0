/** How a statement went: the answer, and the connection that gave it, or why there is none. */

import type { Answer } from '../../../core/statement/answer.ts'
import type { Attempt } from '../connections/attempt.ts'
import type { Refusal } from './refusal.ts'

export type Run = { readonly answer: Answer, readonly attempt: Attempt } | Refusal
