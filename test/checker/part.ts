/** A part of a history, the rest being empty. */

import type { History } from './history.ts'

export function partOf (part: Partial<History>): History {
  return { calls: [], promotions: [], versions: [], ...part }
}
