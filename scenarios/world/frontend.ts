/** Requests of callers, round the core's routing and sessions; mirrors attempts.ts, reads.ts and bound.ts of src/shell/caller. */

import type { Group } from '../../src/core/group/group.ts'
import type { Sample } from '../../src/core/group/sample.ts'
import type { EndpointId } from '../../src/core/id/endpoint.ts'
import { routeRead } from '../../src/core/routing/route.ts'
import { Session } from '../../src/core/session/session.ts'
import { Sessions } from '../../src/core/session/sessions.ts'
import { Token } from '../../src/core/token.ts'
import type { Process } from './process.ts'
import { Reply } from './reply.ts'
import type { Request } from './request.ts'

interface Context {
  readonly process: Process
  readonly group: (id: Request['group']) => Group | undefined
  /** Endpoints, nearest first. */
  readonly near: readonly EndpointId[]
  /** Runs a request on a slot of the endpoint, here or at a peer. */
  readonly run: (endpoint: EndpointId, req: Request, isStrict: boolean, ms: number) => Promise<Reply>
  readonly confirm: (endpoint: EndpointId, token: Token, ms: number) => Promise<Sample | undefined>
}

type Target =
  | { readonly endpoint: EndpointId, readonly place: 'primary' | 'replica', readonly isStrict: boolean }
  | { readonly refusal: Reply }

const RETRY_MS = 20
const MOST_SESSIONS = 100_000
const FINAL: ReadonlySet<string | undefined> = new Set(['lostWrite', 'lostTransaction'])

export class Frontend {
  private readonly sessions = Sessions.create(MOST_SESSIONS)
  private readonly transactions = new Map<string, EndpointId>()

  private constructor (private readonly context: Context) {}

  static create (context: Context): Frontend {
    return new Frontend(context)
  }

  /** Tries again only what is proved not run, within the deadline. */
  async run (req: Request): Promise<Reply> {
    const { process } = this.context
    for (;;) {
      const ms = Math.max(1, Math.ceil(req.deadline - process.now()))
      const reply = await this.attempt(req, ms)
      const mayRetry = req.transaction === undefined && reply.outcome === 'notRun' && !FINAL.has(reply.reason)
      if (!mayRetry || req.deadline - process.now() <= RETRY_MS) {
        if (reply.token !== undefined) this.wrote(req, reply.token)
        return reply
      }
      await process.sleep(RETRY_MS)
    }
  }

  private async attempt (req: Request, ms: number): Promise<Reply> {
    const target = await this.target(req, ms)
    if ('refusal' in target) return target.refusal
    const reply = await this.context.run(target.endpoint, req, target.isStrict, ms)
    return reply.at(target.place)
  }

  private async target (req: Request, ms: number): Promise<Target> {
    const { transaction, statement } = req
    if (transaction !== undefined && statement.kind !== 'begin') {
      const endpoint = this.transactions.get(transaction)
      if (endpoint === undefined) return { refusal: Reply.refuse('lostTransaction') }
      if (statement.kind === 'commit') this.transactions.delete(transaction)
      return { endpoint, place: 'primary', isStrict: false }
    }
    if (statement.kind === 'read') return await this.route(req, ms)
    const primary = this.context.group(req.group)?.primary
    if (primary === undefined) return { refusal: Reply.refuse('noPrimary') }
    if (transaction !== undefined) this.transactions.set(transaction, primary.endpoint)
    return { endpoint: primary.endpoint, place: 'primary', isStrict: false }
  }

  private async route (req: Request, ms: number): Promise<Target> {
    if (this.token(req) === undefined) {
      const bound = await this.bound(req, ms)
      if (bound !== undefined) this.wrote(req, bound)
    }
    const group = this.context.group(req.group)
    if (group === undefined) return { refusal: Reply.refuse('noPrimary') }
    const token = this.token(req)
    const freshness = token === undefined ? { kind: 'strict' } as const : req.freshness
    const route = routeRead({ group, freshness, token: token ?? Token.zero, near: this.context.near })
    switch (route.kind) {
      case 'lost': return { refusal: Reply.refuse('lostWrite') }
      case 'none': return { refusal: Reply.refuse('noPrimary') }
      case 'replica': return { endpoint: route.endpoint, place: 'replica', isStrict: false }
      case 'primary': return { endpoint: route.endpoint, place: 'primary', isStrict: true }
    }
  }

  /** The position that no acknowledged write lies above, proved by the primary and a second endpoint. */
  private async bound (req: Request, ms: number): Promise<Token | undefined> {
    const group = this.context.group(req.group)
    const primary = group?.primary
    if (group === undefined || primary === undefined) return undefined
    const token = Token.of(primary.term, 0)
    const confirm = async (at: EndpointId): Promise<Sample> => {
      const sample = await this.context.confirm(at, token, ms)
      if (sample === undefined) throw new Error('not confirmed')
      return sample
    }
    const others = group.samples.filter(sample => sample.endpoint !== primary.endpoint)
    try {
      const [own] = await Promise.all([
        confirm(primary.endpoint),
        Promise.any(others.map(async other => await confirm(other.endpoint)))
      ])
      return Token.of(primary.term, own.received)
    } catch {
      return undefined
    }
  }

  private wrote (req: Request, token: Token): void {
    const session = this.sessions.get(req.session) ?? Session.create(req.session)
    this.sessions.set(session.with(req.group, token))
  }

  private token (req: Request): Token | undefined {
    return this.sessions.get(req.session)?.token(req.group)
  }
}
