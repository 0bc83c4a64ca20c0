/** The load of the others where no report came. */

import type { OthersLoad } from './othersload.ts'

const NOTHING = { owners: 0, atWork: 0, waiting: 0, answerMs: undefined, failing: 0 } as const

export const aloneLoad: OthersLoad = { at: () => NOTHING }
