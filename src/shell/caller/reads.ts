/** The way of a read: what its session must see, and the endpoint that shows it. */

import { Run_Access as RunAccess } from '../../gen/peer_pb.ts'
import type { Group } from '../../core/group/group.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Freshness } from '../../core/routing/freshness.ts'
import type { Hints } from '../../core/routing/hints.ts'
import { routeRead } from '../../core/routing/route.ts'
import { Session } from '../../core/session/session.ts'
import { Token } from '../../core/token.ts'
import { acknowledgedBound } from './bound.ts'
import type { CallerContext } from './context.ts'
import type { Identity } from './identity.ts'
import type { Target } from './target.ts'

/** Routes the reads of all callers of a process, and keeps what their sessions have written. */
export class Reads {
  private constructor (private readonly context: CallerContext) {}

  static create (context: CallerContext): Reads {
    return new Reads(context)
  }

  /** `ms` is what is left until the read's deadline; `avoid` lists endpoints that could not be reached just now. */
  async route (identity: Identity, hints: Hints, ms: number, avoid: readonly EndpointId[] = []): Promise<Target> {
    await this.fillSession(identity, hints, ms)
    const known = this.context.groups.get(identity.group.id)
    if (known === undefined) return { kind: 'nowhere', reason: 'noPrimary' }
    const group = avoid.reduce(withoutReplica, known)
    const token = this.token(identity, hints)
    const freshness: Freshness = token === undefined ? { kind: 'strict' } : freshnessOf(identity, hints)
    const route = routeRead({ group, freshness, token: token ?? Token.zero, near: this.context.near })
    switch (route.kind) {
      case 'lost': return { kind: 'nowhere', reason: 'lostWrite' }
      case 'none': return { kind: 'nowhere', reason: 'noPrimary' }
      case 'replica': return { kind: 'endpoint', endpoint: route.endpoint, access: RunAccess.READ, transaction: '' }
      case 'primary': return { kind: 'endpoint', endpoint: route.endpoint, access: RunAccess.STRICT, transaction: '' }
    }
  }

  /** Takes in an acknowledged write of the session. */
  wrote (identity: Identity, hints: Hints, token: Token): void {
    const { sessions } = this.context
    const id = hints.fields.session ?? identity.session
    sessions.set((sessions.get(id) ?? Session.create(id)).with(identity.group.id, token))
  }

  /**
   * A session that roamed here from another proxy may have written there.
   * Its missing row is filled with the bound of all acknowledged writes.
   */
  private async fillSession (identity: Identity, hints: Hints, ms: number): Promise<void> {
    const { groups } = this.context
    const group = groups.get(identity.group.id)
    if (this.token(identity, hints) !== undefined || group === undefined) return
    const bound = await acknowledgedBound(this.context, group, ms)
    if (bound !== undefined) this.wrote(identity, hints, bound)
  }

  /** Undefined when nothing is known of the session's writes, so that only a strict read is safe. */
  private token (identity: Identity, hints: Hints): Token | undefined {
    const id = hints.fields.session ?? identity.session
    const known = this.context.sessions.get(id)?.token(identity.group.id)
    const { token } = hints.fields
    if (known === undefined || token === undefined) return known ?? token
    return known.max(token)
  }
}

function freshnessOf ({ pool }: Identity, hints: Hints): Freshness {
  return pool.kinds.find(one => one.name === hints.fields.read)?.freshness ?? pool.freshness
}

/** A replica that failed an earlier attempt is passed over, though its last sample still says that it answers. */
function withoutReplica (group: Group, endpoint: EndpointId): Group {
  const sample = group.sample(endpoint)
  return sample?.role === 'replica' ? group.with(sample.with({ reachable: false })) : group
}
