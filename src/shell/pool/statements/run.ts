/** The result of a statement: its answer with the connection that gave it, or a refusal. */

import type { Answer } from '../../../core/statement/answer.ts'
import type { Attempt } from '../connections/attempt.ts'
import type { Refusal } from './refusal.ts'

export type Run = { readonly answer: Answer, readonly attempt: Attempt } | Refusal
