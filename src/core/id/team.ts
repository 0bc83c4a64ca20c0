/** The id of a team: the callers that share keys and an allowance. */

import type { Brand } from '../brand.ts'

/** Names a team, unique in the whole configuration. */
export type TeamId = Brand<string, 'TeamId'>
