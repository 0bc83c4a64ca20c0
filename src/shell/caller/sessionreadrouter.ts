/** Routes reads: determines the position that a session requires and picks an endpoint that has reached it. */

import { Run_Access as RunAccess } from '../../gen/peer_pb.ts'
import { replicaEvidence } from '../../core/audit/replicaevidence.ts'
import type { Group } from '../../core/group/group.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { GroupId } from '../../core/id/group.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { SessionId } from '../../core/id/session.ts'
import type { Freshness } from '../../core/routing/freshness.ts'
import type { Hints } from '../../core/routing/hints.ts'
import { routeRead } from '../../core/routing/route.ts'
import { fingerprint } from '../../core/session/fingerprint.ts'
import { requiredToken } from '../../core/session/requiredtoken.ts'
import { Token } from '../../core/token.ts'
import { BoundRounds } from './boundrounds.ts'
import type { CallerContext } from './context.ts'
import { freshnessOf } from './freshness.ts'
import type { Identity } from './identity.ts'
import type { Target } from './target.ts'

/** Share of a read's maximum staleness after which the watermark is refreshed. */
const WATERMARK_REFRESH_SHARE = 0.25

/** A read that is being routed. */
interface Read {
  readonly group: GroupId
  readonly session: SessionId
  readonly freshness: Freshness
  readonly known: Token
  /** Determined after the read arrived; undefined for a session that writes through this process only. */
  readonly bound: Token | undefined
  readonly near: ReadonlySet<EndpointId>
  /** Endpoints that an earlier attempt of this read could not reach. */
  readonly avoid: readonly EndpointId[]
  readonly since: Instant
}

/** Routes the reads of all callers of this process and records the writes of their sessions. */
export class SessionReadRouter {
  private readonly rounds = new Map<GroupId, BoundRounds>()
  /** Endpoints in this process's data centre, by configured group. */
  private readonly nearEndpoints = new WeakMap<Identity['group'], ReadonlySet<EndpointId>>()

  private constructor (private readonly context: CallerContext) {}

  static create (context: CallerContext): SessionReadRouter {
    return new SessionReadRouter(context)
  }

  /** `ms` is the time left until the read's deadline; `avoid` lists endpoints that an earlier attempt could not reach. */
  async route (identity: Identity, hints: Hints, ms: number, avoid: readonly EndpointId[] = []): Promise<Target> {
    const since = this.context.now()
    const group = identity.group.id
    const bound = mayWriteElsewhere(identity, hints) ? await this.boundRoundsOf(group).ask(ms) : undefined
    // Without a bound, the session's writes through other processes are unknown, so only a strict read is safe.
    const isBoundMissing = mayWriteElsewhere(identity, hints) && bound === undefined
    return await this.place({
      group,
      session: sessionOf(identity, hints),
      freshness: isBoundMissing ? { kind: 'strict' } : freshnessOf(identity, hints),
      known: this.token(identity, hints),
      bound,
      near: this.near(identity),
      avoid,
      since
    }, ms)
  }

  /** Records an acknowledged write of the session. */
  wrote (identity: Identity, hints: Hints, token: Token): void {
    const { sessions } = this.context
    sessions.set(sessions.get(sessionOf(identity, hints)).with(identity.group.id, token))
  }

  /** The latest write of the session that this process recorded or the caller named in its token hint. */
  token (identity: Identity, hints: Hints): Token {
    const known = this.context.sessions.get(sessionOf(identity, hints)).token(identity.group.id)
    return known.max(hints.fields.token ?? Token.zero)
  }

  private async place (read: Read, ms: number): Promise<Target> {
    const { groups, now } = this.context
    for (let isRefreshed = read.bound !== undefined; ;) {
      const known = groups.get(read.group)
      if (known?.isSampled !== true) return { kind: 'nowhere', reason: 'notSampled' }
      const group = read.avoid.reduce(withoutReplica, known)
      const writes = groups.recentWrites(read.group)
      const token = requiredToken({ ...read, group, writes, session: fingerprint(read.session) })
      const isWriteNoticeMissing = read.bound !== undefined && writes.findGap(read.bound, group.minApplied) !== undefined
      const route = routeRead({
        ...read, group, token, watermarks: groups.watermarks(read.group), now: now(), chance: this.context.chance(), isRefreshed, isWriteNoticePending: isWriteNoticeMissing
      })
      switch (route.kind) {
        case 'lost': return this.reportLostWrite(read)
        case 'none': return { kind: 'nowhere', reason: 'noPrimary' }
        case 'replica': {
          this.refreshWatermark(read, ms)
          const sample = group.sample(route.endpoint)!
          const evidence = replicaEvidence(read.freshness, token, sample, groups.watermarks(read.group).age(sample, now()))
          return { kind: 'endpoint', endpoint: route.endpoint, access: RunAccess.READ, transaction: '', evidence }
        }
        case 'primary': return { kind: 'endpoint', endpoint: route.endpoint, access: RunAccess.STRICT, transaction: '' }
        case 'note':
          await groups.waitForChange(route.ms)
          break
        case 'wait':
          if (route.ms > 0) await groups.waitForChange(route.ms)
          await this.boundRoundsOf(read.group).ask(ms)
          isRefreshed = true
      }
    }
  }

  /**
   * Refreshes the watermark while the current one still satisfies the maximum
   * staleness. If it expired first, all such reads would go to the primary
   * until the replicas had caught up with the next watermark.
   */
  private refreshWatermark ({ group, freshness }: Read, ms: number): void {
    if (freshness.kind !== 'age') return
    const { newest } = this.context.groups.watermarks(group)
    const isRecent = newest !== undefined && this.context.now() - newest < freshness.ms * WATERMARK_REFRESH_SHARE
    if (!isRecent) this.boundRoundsOf(group).ask(ms)
  }

  /**
   * Reports a lost write to the session once. The session then continues from
   * the start of the new term, or all its later reads would be refused too.
   */
  private reportLostWrite ({ group, session, known }: Read): Target {
    const { groups, sessions } = this.context
    const history = groups.get(group)!.history
    // After a failover since the bound was determined, only the bound lies past the fork: it may include
    // writes that were never acknowledged. The session lost none of its own, and the next attempt gets a new bound.
    if (history.contains(known.term, known.position)) return { kind: 'nowhere', reason: 'noPrimary' }
    const fork = history.startAfter(known.term)
    if (fork !== undefined) sessions.set(sessions.get(session).with(group, Token.of(fork.term, fork.position)))
    return { kind: 'nowhere', reason: 'lostWrite' }
  }

  private boundRoundsOf (group: GroupId): BoundRounds {
    const known = this.rounds.get(group)
    if (known !== undefined) return known
    const rounds = BoundRounds.create(this.context, group)
    this.rounds.set(group, rounds)
    return rounds
  }

  private near ({ group }: Identity): ReadonlySet<EndpointId> {
    const known = this.nearEndpoints.get(group)
    if (known !== undefined) return known
    const near = new Set(group.endpoints.filter(one => one.dataCentre === this.context.dataCentre).map(one => one.id))
    this.nearEndpoints.set(group, near)
    return near
  }
}

function sessionOf (identity: Identity, hints: Hints): SessionId {
  return hints.fields.session ?? identity.session
}

/**
 * Whether the session may have written through another process. A token from
 * the caller covers all of the session's writes, and an unnamed session exists
 * on one connection only.
 */
function mayWriteElsewhere (identity: Identity, hints: Hints): boolean {
  if (freshnessOf(identity, hints).kind === 'strict') return false
  const isNamed = identity.isNamed || hints.fields.session !== undefined
  return isNamed && hints.fields.token === undefined
}

/** Marks a replica as unreachable for this read: an earlier attempt failed there after its latest sample. The primary is left as it is. */
function withoutReplica (group: Group, endpoint: EndpointId): Group {
  const sample = group.sample(endpoint)
  return sample?.role === 'replica' ? group.with(sample.with({ reachable: false })) : group
}
