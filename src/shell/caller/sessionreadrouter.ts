/** The way of a read: what its session must see, and the endpoint that shows it. */

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

/** The share of a stated age after which the next mark is asked for. */
const WATERMARK_REFRESH_SHARE = 0.25

/** One read on its way. */
interface Read {
  readonly group: GroupId
  readonly session: SessionId
  readonly freshness: Freshness
  readonly known: Token
  /** Asked for after the read arrived; undefined for a session that writes nowhere else. */
  readonly bound: Token | undefined
  readonly near: ReadonlySet<EndpointId>
  /** Endpoints that an earlier attempt of the same read could not reach. */
  readonly avoid: readonly EndpointId[]
  readonly since: Instant
}

/** Routes the reads of all callers of a process, and keeps what their sessions have written. */
export class SessionReadRouter {
  private readonly rounds = new Map<GroupId, BoundRounds>()
  /** The near endpoints of a configuration's groups. */
  private readonly nearEndpoints = new WeakMap<Identity['group'], ReadonlySet<EndpointId>>()

  private constructor (private readonly context: CallerContext) {}

  static create (context: CallerContext): SessionReadRouter {
    return new SessionReadRouter(context)
  }

  /** `ms` is what is left until the read's deadline; `avoid` lists endpoints that could not be reached just now. */
  async route (identity: Identity, hints: Hints, ms: number, avoid: readonly EndpointId[] = []): Promise<Target> {
    const since = this.context.now()
    const group = identity.group.id
    const bound = mayWriteElsewhere(identity, hints) ? await this.boundRoundsOf(group).ask(ms) : undefined
    // Where nothing can be proved of the session's writes elsewhere, only a strict read is safe.
    const isBlind = mayWriteElsewhere(identity, hints) && bound === undefined
    return await this.place({
      group,
      session: sessionOf(identity, hints),
      freshness: isBlind ? { kind: 'strict' } : freshnessOf(identity, hints),
      known: this.token(identity, hints),
      bound,
      near: this.near(identity),
      avoid,
      since
    }, ms)
  }

  /** Takes in an acknowledged write of the session. */
  wrote (identity: Identity, hints: Hints, token: Token): void {
    const { sessions } = this.context
    sessions.set(sessions.get(sessionOf(identity, hints)).with(identity.group.id, token))
  }

  /** The newest write that is known of the session: by this process or from the caller. */
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
      const isNoteDue = read.bound !== undefined && writes.findGap(read.bound, group.minApplied) !== undefined
      const route = routeRead({
        ...read, group, token, watermarks: groups.watermarks(read.group), now: now(), chance: this.context.chance(), isRefreshed, isWriteNoticePending: isNoteDue
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
   * Asks for the next mark while the last still proves the age. Against reads
   * of a stated age that all go to the primary once in that time: when the
   * last mark is too old, replicas need their whole lag to reach the next.
   */
  private refreshWatermark ({ group, freshness }: Read, ms: number): void {
    if (freshness.kind !== 'age') return
    const { newest } = this.context.groups.watermarks(group)
    const isYoung = newest !== undefined && this.context.now() - newest < freshness.ms * WATERMARK_REFRESH_SHARE
    if (!isYoung) this.boundRoundsOf(group).ask(ms)
  }

  /**
   * A session is told once that a write of it was lost, and then goes on with
   * what the new term kept: it would be refused for ever otherwise.
   */
  private reportLostWrite ({ group, session, known }: Read): Target {
    const { groups, sessions } = this.context
    const history = groups.get(group)!.history
    // Against a failover between the bound and this step: what lies past the fork then is the bound, which
    // holds writes that were never acknowledged. None of the session's is lost, and the next try asks again.
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
 * Whether the session may have written through another process. What a caller
 * brings as its token covers its writes, and a connection without a session's
 * name is its own session.
 */
function mayWriteElsewhere (identity: Identity, hints: Hints): boolean {
  if (freshnessOf(identity, hints).kind === 'strict') return false
  const isNamed = identity.isNamed || hints.fields.session !== undefined
  return isNamed && hints.fields.token === undefined
}

/** A replica that failed an earlier attempt is passed over, though its last sample still says that it answers. */
function withoutReplica (group: Group, endpoint: EndpointId): Group {
  const sample = group.sample(endpoint)
  return sample?.role === 'replica' ? group.with(sample.with({ reachable: false })) : group
}
