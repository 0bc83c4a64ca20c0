/** How a version of the configuration spreads among 2,000 members, and what it costs. */

import type { Benchmark } from './benchmark.ts'
import { Members } from './members.ts'

const MEMBERS = 2000
const SEED = 11
/** 9,700 changes a day. */
const BETWEEN_MS = 86_400_000 / 9700
const VERSIONS = 12
const MISSED_IN_AN_HOUR = 404
const MOST_MS = 20_000
/** Sizes at 4,500 databases by bench/document.ts, rounded up. */
const WHOLE_BYTES = 2_000_000
const CHANGE_BYTES = 100

type Figures = Readonly<Record<string, number>>

/** Times are virtual, so that all figures are the same on every run. */
export const gossip: Benchmark = {
  name: 'gossip',
  bounds: [
    { figure: 'steady: slowest spread, virtual ms', atMost: 5000 },
    { figure: 'steady: most bytes/s sent by a member', atMost: 28_000 },
    { figure: 'steady: store reads/s in all', atMost: 500 },
    { figure: 'data centre lost: spread, virtual ms', atMost: 5000 },
    { figure: 'region back after an hour: spread, virtual ms', atMost: 5000 }
  ],
  async run () {
    return { ...steady(), ...dataCentreLost(), ...regionBack() }
  }
}

/** All members up, at the pace of the plan. */
function steady (): Figures {
  const members = settled()
  const [began, reads] = [members.clock.now, members.storeReads]
  const sent = members.all.map(member => member.sentBytes)
  let slowest = 0
  for (let i = 0; i < VERSIONS; i++) {
    members.accept()
    const ms = members.spread(MOST_MS) ?? Infinity
    slowest = Math.max(slowest, ms)
    members.clock.run(BETWEEN_MS - ms)
  }
  const seconds = (members.clock.now - began) / 1000
  const rates = members.all.map((member, i) => (member.sentBytes - sent[i]!) / seconds)
  return {
    'steady: slowest spread, virtual ms': slowest,
    'steady: mean bytes/s sent by a member': rates.reduce((sum, rate) => sum + rate, 0) / MEMBERS,
    'steady: most bytes/s sent by a member': Math.max(...rates),
    'steady: store reads/s in all': (members.storeReads - reads) / seconds
  }
}

/** 250 members die at once, the host list still shows them, and the next version comes. */
function dataCentreLost (): Figures {
  const members = settled()
  members.lose(0)
  members.accept()
  return { 'data centre lost: spread, virtual ms': members.spread(MOST_MS) ?? Infinity }
}

/** A region without peers and store misses as many versions as an hour has; then all is well again. */
function regionBack (): Figures {
  const members = settled()
  members.cut(0, true)
  for (let i = 0; i < MISSED_IN_AN_HOUR; i++) {
    members.accept()
    members.clock.run(100)
  }
  members.clock.run(MOST_MS)
  const behind = members.versionsBehind()
  const wholes = members.wholes
  members.cut(-1, false)
  return {
    'region back after an hour: members behind': behind,
    'region back after an hour: spread, virtual ms': members.spread(MOST_MS) ?? Infinity,
    'region back after an hour: whole documents sent': members.wholes - wholes
  }
}

/** The first version is everywhere. */
function settled (): Members {
  const members = Members.start({ members: MEMBERS, seed: SEED, wholeBytes: WHOLE_BYTES, changeBytes: CHANGE_BYTES })
  members.accept()
  members.spread(MOST_MS)
  // What is still on its way belongs to the start.
  members.clock.run(BETWEEN_MS)
  return members
}
