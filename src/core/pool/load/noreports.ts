/** The load of the other owners of a group while no report was received. */

import type { OthersLoad } from './othersload.ts'

const NO_LOAD = { owners: 0, atWork: 0, waiting: 0, answerMs: undefined, failing: 0 } as const

export const noReports: OthersLoad = { at: () => NO_LOAD }
