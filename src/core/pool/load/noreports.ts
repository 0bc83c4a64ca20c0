/** What is known of the other owners of a group while none of them was heard. */

import type { OthersLoad } from './othersload.ts'

const NO_LOAD = { owners: 0, atWork: 0, waiting: 0, answerMs: undefined, failing: 0 } as const

export const noReports: OthersLoad = { at: () => NO_LOAD }
