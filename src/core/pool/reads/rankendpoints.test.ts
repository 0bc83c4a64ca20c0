/** Where a read goes by the time until its answer. */

import { describe, expect, it } from 'vitest'
import type { EndpointId } from '../../id/endpoint.ts'
import { rankEndpoints } from './rankendpoints.ts'

type Candidate = Parameters<typeof rankEndpoints>[0][number]

const PLAIN: Omit<Candidate, 'id'> = { isPrimary: false, isRemote: false, needsNewConnection: false, places: 5, load: 0, serviceTimeMs: 20, failing: 0, waitMs: 0, part: 1, isTrialDue: false }

/** Endpoints a (the primary), b, c, each with what sets it apart. */
function order (chance: number, ...changes: Array<Partial<Candidate>>): string {
  const candidates = changes.map((change, i) => ({ ...PLAIN, isPrimary: i === 0, serviceTimeMs: i === 0 ? 8 : 20, ...change, id: 'abc'[i] as EndpointId }))
  return rankEndpoints(candidates, () => chance).join('')
}

describe('the endpoint that answers soonest', () => {
  it.each<[string, Array<Partial<Candidate>>, string]>([
    ['replicas before an idle primary', [{}, { load: 1 }, { load: 2 }], 'bca'],
    ['the primary once it is much sooner', [{}, { load: 10 }, { load: 11 }], 'abc'],
    ['but not while it has a queue as well', [{ load: 40 }, { load: 10 }, { load: 11 }], 'bca'],
    ['by places, not by numbers', [{}, { load: 4, places: 10 }, { load: 3 }], 'bca'],
    ['a slow one only when the others are full', [{ load: 60 }, { serviceTimeMs: 150 }, { load: 20 }], 'cab'],
    ['and then it is used', [{ load: 90 }, { serviceTimeMs: 150 }, { load: 40 }], 'bca'],
    ['a pace that is not known counts as the others\'', [{}, { serviceTimeMs: undefined, load: 2 }, { load: 1 }], 'cba'],
    ['another data centre at a small price', [{}, { isRemote: true }, { load: 1 }], 'cba'],
    ['but before a queue', [{}, { isRemote: true }, { load: 2 }], 'bca'],
    ['no opening where a connection is unused', [{ load: 10 }, { needsNewConnection: true }, { load: 4 }], 'cba'],
    ['an opening before a long queue', [{ needsNewConnection: true }, { needsNewConnection: true }, { load: 6 }], 'bca'],
    ['what fails takes another try', [{}, { failing: 0.4 }, { load: 3 }], 'cba'],
    ['one that is to hold the position soon', [{ load: 60 }, { waitMs: 30 }, { load: 9 }], 'bca'],
    ['nothing is known', [{ serviceTimeMs: undefined }, { serviceTimeMs: undefined }, { serviceTimeMs: undefined, load: 1 }], 'bca'],
    ['one that is put aside goes last', [{}, { part: 0 }, { load: 30 }], 'acb'],
    ['unless its turn to be tried is come', [{}, { load: 3 }, { part: 0, isTrialDue: true }], 'cba'],
    ['one that is put aside by half keeps a part of its reads', [{}, { part: 0.75 }, { load: 3 }], 'bca'],
    ['most are never put aside', [{}, { part: 0 }, { part: 0.25, load: 3 }], 'cab'],
    ['neither is one of two', [{ load: 60 }, { part: 0 }], 'ba'],
    ['nor the last', [{ part: 0 }], 'a']
  ])('%s', (_, changes, expected) => expect(order(0.6, ...changes)).toBe(expected))
})
