/** Requests of callers: the product's `Reads` as it stands, and its loop of attempts, mirrored from src/shell/caller/attempts.ts. */

import { create } from '@bufbuild/protobuf'
import { ConfirmedSchema, Run_Access as RunAccess } from '../../src/gen/peer_pb.ts'
import type { Config } from '../../src/core/config/config.ts'
import type { Sample } from '../../src/core/group/sample.ts'
import type { DataCentreId } from '../../src/core/id/datacentre.ts'
import type { EndpointId } from '../../src/core/id/endpoint.ts'
import { Hints } from '../../src/core/routing/hints.ts'
import { Sessions } from '../../src/core/session/sessions.ts'
import { Token } from '../../src/core/token.ts'
import type { CallerContext } from '../../src/shell/caller/context.ts'
import type { Groups } from '../../src/shell/caller/groups.ts'
import type { Identity } from '../../src/shell/caller/identity.ts'
import { Reads } from '../../src/shell/caller/reads.ts'
import type { SlotPort } from '../../src/shell/peer/port.ts'
import type { Process } from './process.ts'
import { Reply } from './reply.ts'
import type { Request } from './request.ts'

interface Context {
  readonly process: Process
  readonly groups: Groups
  readonly config: () => Config | undefined
  /** Whether this process can reach an owner of a slot of the endpoint. */
  readonly isReached: (endpoint: EndpointId) => boolean
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
  private readonly reads: Reads
  private readonly transactions = new Map<string, EndpointId>()

  private constructor (private readonly context: Context) {
    const { process, groups, config } = context
    const needed: Partial<CallerContext> = {
      config,
      groups,
      sessions: Sessions.create(MOST_SESSIONS),
      port: endpoint => context.isReached(endpoint) ? this.port as SlotPort : undefined,
      dataCentre: process.node.dataCentre as DataCentreId,
      chance: () => process.chance.next(),
      now: () => process.now()
    }
    this.reads = Reads.create(needed as CallerContext)
  }

  static create (context: Context): Frontend {
    return new Frontend(context)
  }

  /** Tries again only what is proved not run, within the deadline. */
  async run (req: Request): Promise<Reply> {
    const { process, groups } = this.context
    for (;;) {
      const ms = Math.max(1, Math.ceil(req.deadline - process.now()))
      const reply = await this.attempt(req, ms)
      const mayRetry = req.transaction === undefined && reply.outcome === 'notRun' && !FINAL.has(reply.reason)
      if (!mayRetry || req.deadline - process.now() <= RETRY_MS) {
        if (reply.token !== undefined) this.reads.wrote(this.identity(req), Hints.none, reply.token)
        return reply
      }
      await groups.changed(RETRY_MS)
      await process.running()
    }
  }

  private async attempt (req: Request, ms: number): Promise<Reply> {
    const target = await this.target(req, ms)
    await this.context.process.running()
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
    const primary = this.context.groups.get(req.group)?.primary
    if (primary === undefined) return { refusal: Reply.refuse('noPrimary') }
    if (transaction !== undefined) this.transactions.set(transaction, primary.endpoint)
    return { endpoint: primary.endpoint, place: 'primary', isStrict: false }
  }

  private async route (req: Request, ms: number): Promise<Target> {
    const target = await this.reads.route(this.identity(req), Hints.none.with('read', kindOf(req)), ms)
    if (target.kind === 'nowhere') return { refusal: Reply.refuse(target.reason) }
    const isStrict = target.access === RunAccess.STRICT
    return { endpoint: target.endpoint, place: isStrict ? 'primary' : 'replica', isStrict }
  }

  private identity (req: Request): Identity {
    const config = this.context.config()!
    const group = config.groups.find(one => one.id === req.group)!
    return { pool: config.pools[0]!, group, caller: 'caller', session: req.session, isNamed: true }
  }

  private readonly port: Pick<SlotPort, 'confirm'> = {
    confirm: async (endpoint, term, position, ms) => {
      const sample = await this.context.confirm(endpoint, Token.of(term, position), ms)
      if (sample === undefined) return create(ConfirmedSchema, { ok: false })
      return create(ConfirmedSchema, { ok: true, term: sample.term, received: sample.received, applied: sample.applied })
    }
  }
}

/** The kinds of read are named after their freshness in a run's configuration. */
function kindOf ({ freshness }: Request): string {
  return freshness.kind === 'age' ? `age-${freshness.ms}` : freshness.kind
}
