/** Guards against replacing a healthy primary, and against a group that stays without one. */

import { describe, expect, it } from 'vitest'
import type { Endpoint } from '../../directory/endpoint.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'
import type { EndpointStatus } from '../../statement/endpointstatus.ts'
import { Token } from '../../token.ts'
import { CommitHolders } from './commitholders.ts'
import { GroupFailover } from './groupfailover.ts'
import type { GroupFailoverAction } from './groupfailoveraction.ts'
import type { GroupFailoverEvent } from './groupfailoverevent.ts'
import type { GroupFailoverView } from './groupfailoverview.ts'

const HEALTHY: GroupFailoverView = {
  leader: 'a' as EndpointId, term: 1, leaderlessMs: 0, isLeaving: false, catchUpMs: 1000, isListed: true, isReplacementDue: false, isFailing: false, leaving: new Set(), commitHolders: undefined, isHandoverOpen: false, isLeaseOpen: false, rank: 0, mayClaim: true, isLeaseHolder: true
}

/** Runs one failover on a virtual clock and returns its actions as short texts. */
class Harness {
  now = 0
  view = HEALTHY
  private failover = GroupFailover.create(0 as Instant)

  see (change: Partial<GroupFailoverView>): this {
    this.view = { ...this.view, ...change }
    return this
  }

  /** Ticks every 100 ms for the time and returns the actions. */
  pass (ms: number): string[] {
    const ordered: string[] = []
    for (const until = this.now + ms; this.now < until; this.now += 100) ordered.push(...this.step({ kind: 'tick' }))
    return ordered
  }

  step (event: GroupFailoverEvent): string[] {
    const { next, actions } = this.failover.step(event, this.view, this.now as Instant)
    this.failover = next
    return actions.map(textOf)
  }

  /** Gets the lease, and hears of no objection. */
  claimAndConfirm (fence: number): void {
    this.step({ kind: 'claimed', fence, tookMs: 10 })
    this.pass(600)
    this.step({ kind: 'confirmed', fence })
  }

  /** Ends a survey with these answers. */
  surveyed (...texts: string[]): string[] {
    return this.step({ kind: 'surveyed', statuses: statusesOf(texts) })
  }

  /** Compares the logs of the old primary and its successor. */
  compared (...texts: string[]): string[] {
    return this.step({ kind: 'compared', statuses: statusesOf(texts) })
  }
}

/** Statuses from texts such as `b 1:5` (id, term, position) or `b 1:5 primary`. */
function statusesOf (texts: readonly string[]): ReadonlyMap<EndpointId, EndpointStatus> {
  return new Map(texts.map(text => {
    const [id, position, role] = text.split(' ')
    const received = Token.parse(position!)!
    return [id as EndpointId, { isPrimary: role === 'primary', term: received.term, received }]
  }))
}

function textOf (action: GroupFailoverAction): string {
  switch (action.kind) {
    case 'claim': return `claim ${action.cause}${action.asksFor === undefined ? '' : ' asking'}`
    case 'promote': return `promote ${action.endpoint} under ${action.fence}${action.isPlanned && action.handover !== undefined ? ` for ${action.handover.old}` : ''}`
    case 'handOver': return `hand over from ${action.handover.old} to ${action.handover.successor} in term ${action.handover.term}`
    case 'stop': return `stop ${action.endpoints.join(' ')}`
    case 'found': return `found ${action.endpoint}`
    case 'withhold': return `withhold for ${action.unheard.join(' ')}`
    case 'survey': return action.isHandover ? 'survey handover' : 'survey'
    default: return action.kind
  }
}

/** A group whose commits wait for one of the replicas `b` and `c`. */
/** Endpoints by texts such as `b` or `b 5`, where 5 is when it started. */
const listed = (...texts: string[]) => texts.map(text => {
  const [id, startedAtMs] = text.split(' ')
  return { id, address: { ip: id, port: 1 }, startedAtMs: startedAtMs === undefined ? undefined : Number(startedAtMs) } as unknown as Endpoint
})
const COMMIT_HOLDERS = CommitHolders.none.directoryChanged(listed('a', 'b', 'c'), 0 as Instant)

/** A failover of such a group that surveys the replicas, since no host reaches the primary. */
function surveying (): Harness {
  const failover = harness({ isFailing: true, commitHolders: COMMIT_HOLDERS })
  failover.pass(200)
  failover.claimAndConfirm(7)
  return failover
}

function harness (change: Partial<GroupFailoverView> = {}): Harness {
  return new Harness().see(change)
}

describe('a failover', () => {
  it('leaves a healthy primary alone', () => expect(harness().pass(60_000)).toEqual([]))

  it('promotes the replica with the longest log when no host reaches the primary', () => {
    const failover = harness({ isFailing: true })
    expect(failover.pass(200)).toEqual(['claim unreached asking'])
    expect(failover.step({ kind: 'claimed', fence: 7, tookMs: 10 })).toEqual([])
    expect(failover.pass(600)).toEqual(['confirm'])
    expect(failover.step({ kind: 'confirmed', fence: 7 })).toEqual(['survey'])
    expect(failover.surveyed('b 1:5', 'c 1:9')).toEqual(['promote c under 7'])
    expect(failover.step({ kind: 'ordered', outcome: 'done' })).toEqual([])
  })

  it('leaves a primary alone that another host reaches', () => {
    const failover = harness({ isFailing: true })
    failover.pass(200)
    failover.step({ kind: 'claimed', fence: 7, tookMs: 10 })
    failover.step({ kind: 'objected', fence: 7 })
    expect(failover.pass(800)).toEqual([])
  })

  it('gives the others longer to object while the store is slow', () => {
    // The objections arrive half a second later than usual.
    const failover = harness({ isFailing: true })
    failover.pass(200)
    failover.step({ kind: 'claimed', fence: 7, tookMs: 250 })
    expect(failover.pass(1000)).toEqual([])
    failover.step({ kind: 'objected', fence: 7 })
    expect(failover.pass(900)).toEqual([])
  })

  it('reads the objections from the store before it goes on', () => {
    // This process was suspended while the others objected, or its link to them was down.
    const failover = harness({ isFailing: true })
    failover.pass(200)
    failover.step({ kind: 'claimed', fence: 7, tookMs: 10 })
    expect(failover.pass(600)).toEqual(['confirm'])
    failover.step({ kind: 'objected', fence: 7 })
    expect(failover.step({ kind: 'confirmed', fence: 7 })).toEqual([])
  })

  it('ignores an objection under an earlier fence', () => {
    const failover = harness({ isFailing: true })
    failover.pass(200)
    failover.step({ kind: 'claimed', fence: 7, tookMs: 10 })
    failover.step({ kind: 'objected', fence: 5 })
    expect(failover.pass(600)).toEqual(['confirm'])
  })

  it('replaces a leaving primary without asking other hosts', () => {
    const failover = harness({ isLeaving: true })
    expect(failover.pass(100)).toEqual(['claim leaving'])
    expect(failover.step({ kind: 'claimed', fence: 3, tookMs: 10 })).toEqual(['survey handover'])
    expect(failover.see({ leaving: new Set(['a', 'c'] as EndpointId[]) }).surveyed('b 1:5', 'c 1:9')).toEqual(['promote b under 3'])
  })

  it('replaces a primary that answers but is gone from the directory, as one that leaves', () => {
    const failover = harness({ isListed: false })
    expect(failover.pass(1000)).toEqual([])
    expect(failover.see({ isReplacementDue: true }).pass(100)).toEqual(['claim leaving'])
    expect(failover.step({ kind: 'claimed', fence: 3, tookMs: 10 })).toEqual(['survey handover'])
    expect(failover.surveyed('a 1:9 primary', 'b 1:9')).toEqual(['promote b under 3 for a'])
  })

  it('reports a handover only while the old primary leads', () => {
    const failover = harness({ isLeaving: true })
    failover.pass(100)
    failover.step({ kind: 'claimed', fence: 3, tookMs: 10 })
    expect(failover.surveyed('a 1:9', 'b 1:9')).toEqual(['promote b under 3'])
  })

  it('waits a limited time for a replica to catch up with a leaving primary', () => {
    // Promoting a replica that lags would lose acknowledged commits.
    const failover = harness({ isLeaving: true })
    failover.pass(100)
    failover.step({ kind: 'claimed', fence: 3, tookMs: 10 })
    expect(failover.surveyed('a 1:9 primary', 'b 1:4')).toEqual([])
    expect(failover.pass(400)).toEqual(['claim leaving'])
    failover.step({ kind: 'claimed', fence: 4, tookMs: 10 })
    expect(failover.surveyed('a 1:12 primary', 'b 1:12')).toEqual(['promote b under 4 for a'])
    const late = harness({ isLeaving: true })
    late.pass(100)
    late.step({ kind: 'claimed', fence: 3, tookMs: 10 })
    late.surveyed('a 1:9 primary', 'b 1:4')
    late.pass(1000)
    late.step({ kind: 'claimed', fence: 4, tookMs: 10 })
    expect(late.surveyed('a 1:12 primary', 'b 1:4')).toEqual(['promote b under 4 for a'])
  })

  it('waits for its rank, and stops once another host has replaced the primary', () => {
    const failover = harness({ isLeaving: true, rank: 4 })
    expect(failover.pass(200)).toEqual([])
    expect(failover.see({ mayClaim: false }).pass(2500)).toEqual([])
    expect(failover.see({ leader: 'b' as EndpointId, isLeaving: false }).pass(5000)).toEqual([])
  })

  it('finds a primary that the directory does not list', () => {
    const failover = harness({ leader: undefined, leaderlessMs: 2000 })
    expect(failover.pass(100)).toEqual(['claim nobody'])
    expect(failover.step({ kind: 'claimed', fence: 3, tookMs: 10 })).toEqual(['survey'])
    expect(failover.surveyed('b 2:5 primary', 'c 1:9')).toEqual(['found b', 'giveUp'])
  })

  it('finds the successor while it is cut off from the store', () => {
    // Another host replaced the primary; this one can't read the directory, so it asks the endpoints.
    const failover = harness({ isFailing: true })
    failover.pass(200)
    expect(failover.step({ kind: 'claimLost' })).toEqual(['look'])
    expect(failover.surveyed('b 1:5', 'c 1:9')).toEqual([])
    expect(failover.pass(400)).toEqual(['look'])
    expect(failover.surveyed('b 2:9', 'c 2:9 primary')).toEqual(['found c'])
  })

  it('gives up after a refusal, and claims a new fence for the next attempt', () => {
    const failover = harness({ isLeaving: true })
    failover.pass(100)
    failover.step({ kind: 'claimed', fence: 3, tookMs: 10 })
    failover.surveyed('b 1:5')
    expect(failover.step({ kind: 'ordered', outcome: 'refused' })).toEqual(['giveUp'])
    expect(failover.pass(1500)).toEqual(['claim leaving'])
  })

  it('orders nothing once its lease has expired', () => {
    // The process was suspended between its survey and its order.
    const failover = harness({ isLeaving: true })
    failover.pass(100)
    failover.step({ kind: 'claimed', fence: 3, tookMs: 10 })
    expect(failover.see({ isLeaseHolder: false }).surveyed('b 1:5')).toEqual(['giveUp'])
  })

  it('orders again, under a higher fence, when an order has no answer', () => {
    const failover = harness({ isLeaving: true })
    failover.pass(100)
    failover.step({ kind: 'claimed', fence: 3, tookMs: 10 })
    failover.surveyed('b 1:5')
    failover.step({ kind: 'ordered', outcome: 'unknown' })
    expect(failover.pass(500)).toEqual([])
    expect(failover.pass(200)).toEqual(['claim leaving'])
    failover.step({ kind: 'claimed', fence: 4, tookMs: 10 })
    expect(failover.surveyed('b 1:5')).toEqual(['promote b under 4'])
  })
})

// Guards against the replacement of a primary that answers again after the lease was claimed: commits that no replica has received would be lost.
describe('a primary that answers again after the claim', () => {
  const steps: Array<(failover: Harness) => string[]> = [
    failover => failover.step({ kind: 'claimed', fence: 7, tookMs: 10 }),
    failover => failover.pass(600),
    failover => failover.step({ kind: 'confirmed', fence: 7 }),
    failover => failover.surveyed('b 1:5', 'c 1:9')
  ]
  /** What is done from the claim on; `change` is seen after so many steps. */
  function actions (after: number, change: Partial<GroupFailoverView>): string[] {
    const failover = harness({ isFailing: true })
    failover.pass(200)
    return steps.flatMap((step, i) => {
      if (i === after) failover.see(change)
      return step(failover)
    })
  }

  it.each<[string, number, string[]]>([
    ['while the others may object', 1, ['giveUp']],
    ['while the objections are read', 2, ['confirm', 'giveUp']],
    ['while the endpoints are surveyed', 3, ['confirm', 'survey', 'giveUp']]
  ])('is not replaced: %s', (_, after, done) => expect(actions(after, { isFailing: false })).toEqual(done))

  // Guards against the loss of acknowledged commits to an order that a host left behind: a newer order voids it, a survey that is given up doesn't.
  // It commits again, so it's asked as one that hands over.
  it.each([[1, 'survey handover'], [2, 'survey handover'], [3, 'survey']])('is replaced where commits wait for a replica, after %i steps', (after, survey) => {
    expect(actions(after, { isFailing: false, commitHolders: COMMIT_HOLDERS })).toEqual(['confirm', survey, 'promote c under 7'])
  })

  it.each([1, 2, 3])('is replaced if it answers that it does not lead, after %i steps', after => {
    expect(actions(after, { isFailing: false, leader: undefined, leaderlessMs: 10 })).toEqual(['confirm', 'survey', 'promote c under 7'])
  })
})

// Guards against the loss of an acknowledged commit: the only replica that has it doesn't answer the survey, and another is promoted.
describe('a failover where commits wait for a replica', () => {
  it('promotes the longest log once every replica has answered', () => expect(surveying().surveyed('b 1:5', 'c 1:9')).toEqual(['promote c under 7']))

  it('promotes nothing while a replica is silent, and surveys again', () => {
    const failover = surveying()
    expect(failover.surveyed('b 1:5')).toEqual(['withhold for c', 'giveUp'])
    expect(failover.pass(400)).toEqual(['claim unreached asking'])
    failover.claimAndConfirm(8)
    expect(failover.surveyed('b 1:5', 'c 1:9')).toEqual(['promote c under 8'])
  })

  it('lets its lease expire after three surveys, so that a host that reaches the silent replica can act', () => {
    const failover = surveying()
    for (const fence of [8, 9]) {
      failover.surveyed('b 1:5')
      failover.pass(400)
      failover.claimAndConfirm(fence)
    }
    failover.surveyed('b 1:5')
    expect(failover.pass(3500)).toEqual([])
    expect(failover.pass(1000)).toEqual(['claim unreached asking'])
  })

  it('stops waiting when the old primary answers again', () => {
    const failover = surveying()
    failover.surveyed('b 1:5')
    expect(failover.see({ isFailing: false }).pass(5000)).toEqual(['giveUp'])
  })
})

// Guards against the loss of commits that a replica received after it disappeared from the directory: it lost only the store.
describe('a replica that is no longer listed', () => {
  const commitHolders = COMMIT_HOLDERS.directoryChanged(listed('a', 'b'), 10 as Instant)

  it.each<[string, string[], string]>([
    ['is promoted if it has the longest log', ['c 1:9', 'b 1:5'], 'promote c under 7'],
    ['is not if a listed one has as much', ['c 1:9', 'b 1:9'], 'promote b under 7']
  ])('%s', (_, statuses, order) => expect(surveying().see({ commitHolders }).surveyed(...statuses)).toEqual([order]))

  it('is not promoted while a listed one can catch up', () => {
    const failover = harness({ isLeaving: true, commitHolders })
    failover.pass(100)
    failover.step({ kind: 'claimed', fence: 3, tookMs: 10 })
    expect(failover.surveyed('a 1:9 primary', 'c 1:9', 'b 1:8')).toEqual(['hand over from a to b in term 1'])
  })
})

// Guards against the loss of commits that only a replica which leaves has received: it receives until it ends.
describe('a replica that leaves, with the longest log', () => {
  const leaving = new Set(['c' as EndpointId])

  it('is promoted where commits wait for a replica', () => expect(surveying().see({ leaving }).surveyed('b 1:5', 'c 1:9')).toEqual(['promote c under 7']))

  it('is not promoted if another has as much', () => expect(surveying().see({ leaving }).surveyed('c 1:9', 'b 1:9')).toEqual(['promote b under 7']))

  it('is not promoted where commits wait for no replica', () => {
    const failover = harness({ isFailing: true, leaving })
    failover.pass(200)
    failover.claimAndConfirm(7)
    expect(failover.surveyed('b 1:5', 'c 1:9')).toEqual(['promote b under 7'])
  })
})

// Guards against the loss of commits that are acknowledged by way of a host that hasn't heard of the handover, through a replica that wasn't stopped.
describe('a replica that could receive after the survey', () => {
  function ordered (): Harness {
    const failover = surveying()
    failover.surveyed('b 1:5', 'c 1:9')
    return failover
  }
  const see = (failover: Harness, ...texts: string[]) => failover.see({ commitHolders: COMMIT_HOLDERS.directoryChanged(listed(...texts), 10 as Instant) })

  it.each<[string, string[], string[]]>([
    ['is stopped if it has started since', ['a', 'b', 'c', 'd'], ['stop d']],
    ['is stopped if it has started again', ['a', 'b 5', 'c'], ['stop b']],
    ['is left alone if it is the successor', ['a', 'b', 'c 5'], []],
    ['is left alone if it is the old primary', ['a 5', 'b', 'c'], []]
  ])('%s', (_, texts, actions) => expect(see(ordered(), ...texts).pass(300)).toEqual(actions))

  it('is stopped while the order has no answer', () => {
    const failover = ordered()
    failover.step({ kind: 'ordered', outcome: 'unknown' })
    expect(see(failover, 'a', 'b', 'c', 'd').pass(300)).toEqual(['stop d'])
  })

  it('is not stopped once the failover has ended', () => {
    const failover = ordered()
    failover.step({ kind: 'ordered', outcome: 'refused' })
    expect(see(failover, 'a', 'b', 'c', 'd').pass(300)).toEqual([])
  })

  it('is surveyed with the others at once if it was listed during the survey', () => {
    const failover = see(surveying(), 'a', 'b', 'c', 'd')
    expect(failover.surveyed('b 1:5', 'c 1:9')).toEqual(['survey'])
    expect(failover.surveyed('b 1:5', 'c 1:9', 'd 1:2')).toEqual(['promote c under 7'])
  })
})

// Guards against the loss of commits that the old primary acknowledges through a replica which the survey didn't stop.
describe('a handover where commits wait for a replica', () => {
  function handingOver (): Harness {
    const failover = harness({ isLeaving: true, commitHolders: COMMIT_HOLDERS })
    failover.pass(100)
    failover.step({ kind: 'claimed', fence: 3, tookMs: 10 })
    return failover
  }
  const surveyed = (failover: Harness) => failover.surveyed('a 1:9 primary', 'b 1:8', 'c 1:7')

  it('is announced after the survey, before the order', () => expect(surveyed(handingOver())).toEqual(['hand over from a to b in term 1']))

  it('names the newest term that is known, so that all commits of the old primary are covered', () => {
    expect(surveyed(handingOver().see({ term: 4 }))).toEqual(['hand over from a to b in term 4'])
  })

  it.each<[string, string[], string[], string[]]>([
    ['is compared again once every host has heard of it', ['a 1:12 primary', 'b 1:12'], [], ['compare']],
    ['surveys again when the successor is silent', ['a 1:12 primary'], [], ['claim leaving']],
    ['surveys again when the primary is silent', ['b 1:12'], [], ['claim leaving']],
    ['ends when the successor leads already', ['a 1:12', 'b 2:12 primary'], ['found b', 'giveUp'], []]
  ])('%s', (_, statuses, actions, later) => {
    const failover = handingOver()
    surveyed(failover)
    expect(failover.compared(...statuses)).toEqual(actions)
    expect(failover.pass(600)).toEqual(later)
  })

  /** A handover that every host has heard of. */
  function heard (): Harness {
    const failover = handingOver()
    surveyed(failover)
    failover.compared('a 1:12 primary', 'b 1:12')
    failover.pass(600)
    return failover
  }

  it('is ordered once the successor has what the primary had then', () => expect(heard().compared('a 1:15 primary', 'b 1:15')).toEqual(['promote b under 3']))

  it('waits while the successor lacks a commit', () => {
    const failover = heard()
    expect(failover.compared('a 1:15 primary', 'b 1:14')).toEqual([])
    expect(failover.pass(200)).toEqual(['compare'])
    expect(failover.compared('a 1:17 primary', 'b 1:17')).toEqual(['promote b under 3'])
  })

  it('is not ordered when it could not be announced, and the replicas receive again', () => {
    const failover = handingOver()
    surveyed(failover)
    expect(failover.step({ kind: 'compared', statuses: undefined })).toEqual(['giveUp'])
  })

  it('is not ordered once the lease has expired', () => {
    expect(heard().see({ isLeaseHolder: false }).compared('a 1:15 primary', 'b 1:15')).toEqual(['giveUp'])
  })

  // Guards against a leaving primary that ends before it's replaced: no replica receives all that it has, since what it lacks wasn't acknowledged.
  it('is ordered after a last survey when the successor does not catch up in time', () => {
    const failover = handingOver()
    surveyed(failover)
    failover.pass(1000)
    expect(failover.compared('a 1:12 primary', 'b 1:11')).toEqual([])
    failover.pass(400)
    failover.step({ kind: 'claimed', fence: 4, tookMs: 10 })
    expect(surveyed(failover)).toEqual(['promote b under 4 for a'])
  })
})

describe('an order without an answer whose primary answers again', () => {
  function unanswered (change: Partial<GroupFailoverView>): Harness {
    const failover = surveying().see(change)
    failover.surveyed('b 1:5', 'c 1:9')
    failover.step({ kind: 'ordered', outcome: 'unknown' })
    return failover.see({ isFailing: false })
  }

  it('ends the failover where commits wait for no replica', () => expect(unanswered({ commitHolders: undefined }).pass(1000)).toEqual(['giveUp']))

  // Guards against the loss of what the primary acknowledges meanwhile: the order is carried out late, and its successor lacks it.
  it('is followed by another where commits wait for a replica', () => {
    const failover = unanswered({})
    expect(failover.pass(1000)).toEqual(['claim leaving'])
    expect(failover.step({ kind: 'claimed', fence: 8, tookMs: 10 })).toEqual(['promote c under 8'])
  })
})

// Guards against what a host leaves behind that ends during a failover, of a primary that is well: stopped replicas, and an order that is carried out late.
describe('what another host left behind', () => {
  const claimed = (change: Partial<GroupFailoverView>) => {
    const failover = harness({ commitHolders: COMMIT_HOLDERS, ...change })
    return [failover.pass(200), failover.step({ kind: 'claimed', fence: 7, tookMs: 10 })]
  }

  it.each<[string, Partial<GroupFailoverView>, string[][]]>([
    ['stopped replicas receive again', { isLeaseOpen: true }, [['claim abandoned'], ['giveUp']]],
    ['an announced handover is done anew', { isLeaseOpen: true, isHandoverOpen: true }, [['claim unfinished'], ['survey handover']]],
    ['nothing is done while the lease runs', { isLeaseOpen: true, mayClaim: false }, [[], []]],
    ['nothing is done where commits wait for no replica', { isLeaseOpen: true, isHandoverOpen: true, commitHolders: undefined }, [[], []]]
  ])('%s', (_, change, actions) => expect(claimed(change)).toEqual(actions))

  it('a primary that fails is replaced as usual', () => expect(claimed({ isLeaseOpen: true, isFailing: true })[0]).toEqual(['claim unreached asking']))

  it('the store being away, the endpoints are left alone', () => {
    const failover = harness({ commitHolders: COMMIT_HOLDERS, isLeaseOpen: true })
    failover.pass(200)
    expect(failover.step({ kind: 'claimLost' })).toEqual([])
  })

  it('a leaving primary\'s replicas have time to catch up, however long this host waited for the lease', () => {
    const failover = harness({ commitHolders: COMMIT_HOLDERS, isLeaving: true, mayClaim: false })
    failover.pass(3000)
    failover.see({ mayClaim: true }).pass(100)
    failover.step({ kind: 'claimed', fence: 7, tookMs: 10 })
    expect(failover.surveyed('a 1:9 primary', 'b 1:8', 'c 1:7')).toEqual(['hand over from a to b in term 1'])
  })
})

// Guards against replicas that stay stopped after a failover without a promotion, so that no commit is acknowledged any more.
describe('replicas receive again', () => {
  it.each<[string, (failover: Harness) => string[]]>([
    ['after an objection while they are surveyed', failover => failover.step({ kind: 'objected', fence: 7 })],
    ['once the primary answers after an order that came to nothing', failover => {
      failover.surveyed('b 1:5', 'c 1:9')
      failover.step({ kind: 'ordered', outcome: 'done' })
      return failover.see({ isFailing: false }).pass(3000)
    }],
    ['when another endpoint leads that no order named', failover => failover.see({ leader: 'b' as EndpointId, isFailing: false }).pass(100)]
  ])('%s', (_, end) => expect(end(surveying())).toEqual(['giveUp']))
})
