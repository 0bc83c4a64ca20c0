/** Answers that aren't the whole answer to their own request. */

import type { Breach } from './breach.ts'
import type { Ledger } from './ledger.ts'
import { partOf } from './part.ts'

/** A whole answer has one row for each key that was asked for and no other. */
export function findBadAnswers (ledger: Ledger): readonly Breach[] {
  return ledger.reads.flatMap(read => {
    const part = partOf({ calls: [read] })
    const got = read.rows.map(row => row.key)
    const stray = got.find(key => !read.keys.includes(key))
    if (stray !== undefined) return [{ kind: "answer is another's", part, verdict: `it has a row of ${stray}, which wasn't asked for` }]
    const twice = got.find((key, i) => got.indexOf(key) !== i)
    if (twice !== undefined) return [{ kind: 'answer doubled', part, verdict: `it has two rows of ${twice}` }]
    const missing = read.keys.find(key => !got.includes(key))
    if (missing !== undefined) return [{ kind: 'answer cut', part, verdict: `it was told done and has no row of ${missing}` }]
    return [] as Breach[]
  })
}
