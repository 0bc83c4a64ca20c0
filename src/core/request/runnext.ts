/** What a script does next after an answer of the endpoint. */

import type { Token } from '../token.ts'
import type { Counts } from './counts.ts'
import type { RunAction } from './runaction.ts'
import type { RunStep } from './runstep.ts'

type ConnectionAction = Extract<RunAction, { kind: 'keep' | 'giveBack' }>
type FinalAction = Extract<RunAction, { kind: 'done' | 'failed' | 'refuse' }>

/**
 * - `send`: send the next statement; `script` is the script's state from then on.
 * - `end`: end the run with the outcome `last`; `back` says what becomes of the connection.
 * - `confirm`: the same, once a second server has the position.
 * - `prove`: the same, once the endpoint is proved to be the current primary.
 */
export type RunNext<Script> =
  | { readonly kind: 'send', readonly script: Script, readonly step: RunStep, readonly counts: Counts }
  | { readonly kind: 'end', readonly back: ConnectionAction, readonly last: FinalAction }
  | { readonly kind: 'prove', readonly back: ConnectionAction, readonly last: FinalAction }
  | { readonly kind: 'confirm', readonly back: ConnectionAction, readonly token: Token, readonly last: FinalAction }
