/** Tries an operation at endpoint after endpoint until one does it, none is left, or it may have run. */

import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { Ending } from '../../../core/pool/statements/ending.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import type { Target } from '../../../core/pool/statements/target.ts'
import { verdictOf } from '../../../core/pool/statements/verdict.ts'
import type { Fault } from '../../../core/statement/fault.ts'
import type { Token } from '../../../core/token.ts'
import { Gate } from '../access/gate.ts'
import { Attempt } from '../lending/attempt.ts'
import { clock } from '../clock.ts'
import type { PoolContext } from '../context.ts'
import { Detour } from '../lending/detour.ts'
import type { PoolGroup } from '../group.ts'
import { left } from './left.ts'
import { noteTry } from './notetry.ts'
import type { Refused } from './refused.ts'
import type { Run } from './run.ts'
import { nextTarget } from './target.ts'
import type { Tries } from './tries.ts'

/** Tries of one operation: each of three endpoints, and the primary once more. */
const MOST_TRIES = 4
/** A host in reach takes a session within milliseconds; against callers who wait for their whole time on one that died since. */
const DETOUR_MS = 300
/** An operation waits for a token of its team for this part of its aim: the rest is for its way and its place at the endpoint. */
const TOKEN_SHARE = 0.3
/** It waits for this part of its time for issuers of tokens that don't answer, as they don't while all hosts start: late is better than never then. */
const SILENT_SHARE = 0.5
/** The time to come back while nobody leads: about a round of finding the new primary. */
const LEADERLESS_MS = 500

/** Resolves always, within the operation's time. */
export async function tryAll (ctx: PoolContext, tries: Tries): Promise<Run> {
  const gate = Gate.open(ctx, tries.route, tries.key)
  if (!(gate instanceof Gate)) return gate
  const run = await tryEach(ctx, tries, gate)
  gate.close()
  return run
}

async function tryEach (ctx: PoolContext, tries: Tries, gate: Gate): Promise<Run> {
  const { route, mustLead, deadline, own, mayDetour } = tries
  const group = ctx.group(route.group)
  let last: Refused = { fault: 'busy', retryAfterMs: LEADERLESS_MS }
  if (group === undefined) return last
  const tried = new Set<EndpointId>()
  for (let i = 0; i < MOST_TRIES && left(deadline) > 0; i++) {
    const target = await nextTarget(group, { mustLead, freshness: route.freshness, own, team: gate.team?.id, mayDetour, tried, leftMs: left(deadline) })
    if (target === undefined) return last
    tried.add(target.endpoint)
    const run = await tryOnce(ctx, group, target, tries, gate)
    if (run.kind === 'done') return run.run
    // Against "not run" said of a read that did: it failed at one endpoint, and the next one has no room.
    if (last.fault !== 'failed') last = run.refused
    if (run.kind === 'refused') return last
  }
  return last
}

type Once =
  | { readonly kind: 'done', readonly run: Run }
  | { readonly kind: 'refused' | 'elsewhere', readonly refused: Refused }

/**
 * Against reads that wait out their statement's time at an endpoint that went
 * silent, while others could serve them: once it's known to be out of reach the
 * connection is given up, and the read goes elsewhere. A write waits on, since
 * only its answer can tell what became of it.
 */
async function tryOnce (ctx: PoolContext, group: PoolGroup, target: Target, tries: Tries, gate: Gate): Promise<Once> {
  const began = clock.now()
  const { after, mustLead } = target
  const endpoint = target.via === undefined ? target.endpoint : Detour.by(target.via).endpoint.id
  const note = (ending: string, position?: Token) => noteTry(ctx, tries.trail, {
    endpoint, after, mustLead, what: tries.what, isInside: tries.isInside, hasWritten: false, ending, position, ms: clock.now() - began
  })
  const refused = target.via === undefined ? await fetch(gate, tries) : undefined
  if (refused !== undefined) return { kind: 'refused', refused }
  const attempt = target.via === undefined ? await borrow(group, target, tries, gate) : await detour(ctx, group, target.via, tries)
  if (!(attempt instanceof Attempt)) {
    note('no connection')
    return { kind: target.mustLead ? 'refused' : 'elsewhere', refused: attempt }
  }
  const unwatch = tries.what === 'read' && target.via === undefined ? group.watchers.watch(target.endpoint, () => attempt.link.close()) : undefined
  const answer = await tries.run(attempt, target)
  unwatch?.()
  if (typeof answer === 'string') note(answer)
  else note('done', answer.position)
  if (typeof answer === 'string') {
    gate.again(MAY_HAVE_RUN.has(answer))
    return ended(ctx, answer, tries)
  }
  ctx.budget.succeeded()
  return { kind: 'done', run: { answer, attempt } }
}

function ended (ctx: PoolContext, ending: Ending, { what, isInside }: Tries): Once {
  const verdict = verdictOf(ending, { what, isInside, isFirst: true, hasWritten: false })
  if (verdict.kind === 'refuse') return { kind: 'refused', refused: { fault: verdict.fault, retryAfterMs: 0 } }
  const refused = { fault: faultOf(ending), retryAfterMs: LEADERLESS_MS }
  // Being sent on by an endpoint that knows better costs no work there, so it takes nothing of the budget.
  const isFree = ending === 'behind' || ending === 'notPrimary'
  return { kind: isFree || ctx.budget.mayRetry(clock.now()) ? 'elsewhere' : 'refused', refused }
}

async function fetch (gate: Gate, { route, deadline }: Tries): Promise<Refused | undefined> {
  const leftMs = left(deadline)
  return await gate.fetch(Math.min(route.aimMs * TOKEN_SHARE, leftMs), leftMs * SILENT_SHARE)
}

/** Endings that don't prove that the endpoint did nothing. */
const MAY_HAVE_RUN: ReadonlySet<Ending> = new Set<Ending>(['broken', 'outOfTime', 'failed', 'timeout', 'unknown'])

async function borrow (group: PoolGroup, target: Target, { route, database, deadline, isInside, values }: Tries, gate: Gate): Promise<Attempt | Refused> {
  const team = gate.team?.id
  const lender = group.lender(target.endpoint)
  if (lender === undefined) return { fault: 'busy', retryAfterMs: LEADERLESS_MS }
  const borrowed = await lender.borrow({ rank: route.rank, caller: team ?? database, team, leftMs: left(deadline), isTransaction: isInside, values })
  if (borrowed.isOk()) return Attempt.on(group, lender, borrowed.value, gate)
  return { fault: 'busy', retryAfterMs: borrowed.error.retryAfterMs }
}

async function detour (ctx: PoolContext, group: PoolGroup, host: PoolHost, { database, deadline, key }: Tries): Promise<Attempt | Refused> {
  const dialled = await ctx.dialHost(host, database, key, Math.min(DETOUR_MS, left(deadline)))
  return dialled.isOk() ? Attempt.on(group, Detour.by(host), dialled.value) : { fault: 'busy', retryAfterMs: LEADERLESS_MS }
}

/** How an ending that proves "not run" is told when no endpoint is left. */
function faultOf (ending: Ending): Fault {
  return ending === 'broken' || ending === 'outOfTime' || ending === 'unknownStatement' ? 'aborted' : ending
}
