/** Which endpoint a read goes to, by the expected time until its answer. */

import { describe, expect, it } from 'vitest'
import type { EndpointId } from '../../id/endpoint.ts'
import { rankEndpoints } from './rankendpoints.ts'

type Candidate = Parameters<typeof rankEndpoints>[0][number]

const PLAIN: Omit<Candidate, 'id'> = { isPrimary: false, isRemote: false, needsNewConnection: false, places: 5, load: 0, serviceTimeMs: 20, failing: 0, waitMs: 0, part: 1, isTrialDue: false }

/** Endpoints a (the primary), b and c, each with its difference from the default. */
function order (chance: number, ...changes: Array<Partial<Candidate>>): string {
  const candidates = changes.map((change, i) => ({ ...PLAIN, isPrimary: i === 0, serviceTimeMs: i === 0 ? 8 : 20, ...change, id: 'abc'[i] as EndpointId }))
  return rankEndpoints(candidates, () => chance).join('')
}

describe('the endpoint that is expected to answer first', () => {
  it.each<[string, Array<Partial<Candidate>>, string]>([
    ['replicas before an idle primary', [{}, { load: 1 }, { load: 2 }], 'bca'],
    ['the primary once it is much faster', [{}, { load: 10 }, { load: 11 }], 'abc'],
    ['but not while it has a queue as well', [{ load: 40 }, { load: 10 }, { load: 11 }], 'bca'],
    ['load relative to places', [{}, { load: 4, places: 10 }, { load: 3 }], 'bca'],
    ['a slow one only when the others are busy', [{ load: 60 }, { serviceTimeMs: 150 }, { load: 20 }], 'cab'],
    ['and then it is used', [{ load: 90 }, { serviceTimeMs: 150 }, { load: 40 }], 'bca'],
    ['an unknown service time counts as that of the others', [{}, { serviceTimeMs: undefined, load: 2 }, { load: 1 }], 'cba'],
    ['another data centre at a small price', [{}, { isRemote: true }, { load: 1 }], 'cba'],
    ['but before a queue', [{}, { isRemote: true }, { load: 2 }], 'bca'],
    ['an idle connection before a new one', [{ load: 10 }, { needsNewConnection: true }, { load: 4 }], 'cba'],
    ['a new connection before a long queue', [{ needsNewConnection: true }, { needsNewConnection: true }, { load: 6 }], 'bca'],
    ['a failure costs another attempt', [{}, { failing: 0.4 }, { load: 3 }], 'cba'],
    ['one that is about to contain the position', [{ load: 60 }, { waitMs: 30 }, { load: 9 }], 'bca'],
    ['nothing is known', [{ serviceTimeMs: undefined }, { serviceTimeMs: undefined }, { serviceTimeMs: undefined, load: 1 }], 'bca'],
    ['an ejected one comes last', [{}, { part: 0 }, { load: 30 }], 'acb'],
    ['unless a trial read is due', [{}, { load: 3 }, { part: 0, isTrialDue: true }], 'cba'],
    ['a partly ejected one keeps a part of its reads', [{}, { part: 0.75 }, { load: 3 }], 'bca'],
    ['the majority is never ejected', [{}, { part: 0 }, { part: 0.25, load: 3 }], 'cab'],
    ['neither is one of two', [{ load: 60 }, { part: 0 }], 'ba'],
    ['nor the last', [{ part: 0 }], 'a']
  ])('%s', (_, changes, expected) => expect(order(0.6, ...changes)).toBe(expected))
})
