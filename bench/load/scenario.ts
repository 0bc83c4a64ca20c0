/** The loads under which policies are measured. */

import { LoadModel } from './model.ts'
import type { Policy } from './policy.ts'
import type { Stream } from './stream.ts'

type Options = Parameters<typeof LoadModel.run>[0]

/** Connections for requests of one slot: 16 less the two for the proxy's own questions. */
const CONNECTIONS = 14
const SLOTS = 2
const BURST_FROM_MS = 2000
const BURST_TO_MS = 8000
const END_MS = 30_000
const SHORT_END_MS = 9000
/** The load outside of a burst. */
const QUIET = 0.6

/** Shares of the requests and service times of a shop-floor day: crimp results, kitting, look-ups. */
const MIX = [
  { name: 'urgent', rank: 0, share: 0.1, serviceMs: 3, deadlineMs: 500 },
  { name: 'normal', rank: 1, share: 0.3, serviceMs: 5, deadlineMs: 1000 },
  { name: 'browsing', rank: 2, share: 0.6, serviceMs: 8, deadlineMs: 1000 }
]

/** Requests a second of the mix that keep every connection of both slots in use. */
const CAPACITY = CONNECTIONS * SLOTS * 1000 / MIX.reduce((sum, one) => sum + one.share * one.serviceMs, 0)

type Load = (ms: number) => number

/** Builds and runs the scenarios. */
export class Scenario {
  static readonly connections = CONNECTIONS
  static readonly allConnections = CONNECTIONS * SLOTS
  static readonly burst = { from: BURST_FROM_MS, to: BURST_TO_MS }
  /** The last instant whose requests have all had their outcome when the burst scenario ends. */
  static readonly settledMs = END_MS - 1000

  private constructor () {}

  /** The whole mix at one load; 1 is what the endpoint carries. */
  static steady (policy: () => Policy, seed: number, load: number, returns = 0): LoadModel {
    return run(policy, seed, mix(() => load), SHORT_END_MS, returns)
  }

  /** Quiet, then six seconds of a burst, then quiet; clients come back. */
  static burstOf (policy: () => Policy, seed: number, load: number, returns = 3): LoadModel {
    return run(policy, seed, mix(burst(load)), END_MS, returns)
  }

  /** Only browsing has a burst. */
  static browsingBurst (policy: () => Policy, seed: number, load: number): LoadModel {
    const streams = mix(() => QUIET / 2).map(stream => stream.rank < 2 ? stream : { ...stream, load: burst(load) })
    return run(policy, seed, streams, SHORT_END_MS, 3)
  }

  /** Browsing opens transactions that hold a connection for 400 ms each, more than there are connections. */
  static browsingTransactions (policy: () => Policy, seed: number): LoadModel {
    const pins: Stream = {
      name: 'pins', rank: 2, isTransaction: true, perSecond: 2 * CONNECTIONS * SLOTS / 0.4, serviceMs: 400, deadlineMs: 2000, load: () => 1
    }
    return run(policy, seed, [...mix(() => QUIET / 2), pins], SHORT_END_MS, 0)
  }

  /** Two callers of one class: a modest one, and a greedy one that offers three times what the endpoint carries, in long statements. */
  static greedy (policy: () => Policy, seed: number): LoadModel {
    const perSecond = CONNECTIONS * SLOTS * 1000 / 5
    const streams: Stream[] = [
      { name: 'modest', rank: 1, perSecond: perSecond * 0.3, serviceMs: 5, deadlineMs: 1000, load: () => 1 },
      { name: 'greedy', rank: 1, perSecond: perSecond / 4, serviceMs: 20, deadlineMs: 1000, load: burst(3) }
    ]
    return run(policy, seed, streams, END_MS, 3)
  }
}

function run (policy: () => Policy, seed: number, streams: readonly Stream[], endMs: number, returns: number): LoadModel {
  const options: Options = { seed, streams, policy, connectMs: 10, endMs, returns }
  return LoadModel.run(options)
}

function mix (load: Load): readonly Stream[] {
  return MIX.map(({ share, ...stream }) => ({ ...stream, perSecond: CAPACITY * share, load }))
}

function burst (load: number): Load {
  return ms => ms >= BURST_FROM_MS && ms < BURST_TO_MS ? load : QUIET
}
