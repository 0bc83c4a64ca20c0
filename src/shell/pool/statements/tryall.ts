/** Tries an operation at one endpoint after another, until it's done, it may have run, or no endpoint is left. */

import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { Ending } from '../../../core/pool/statements/ending.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import type { Cause } from '../../../core/pool/statements/cause.ts'
import type { Target } from '../../../core/pool/statements/target.ts'
import { verdictOf } from '../../../core/pool/statements/verdict.ts'
import type { Fault } from '../../../core/statement/fault.ts'
import type { Token } from '../../../core/token.ts'
import { Gate } from '../access/gate.ts'
import { Attempt } from '../connections/attempt.ts'
import { clock } from '../clock.ts'
import type { PoolContext } from '../context.ts'
import { ForwardedSource } from '../connections/forwardedsource.ts'
import type { PoolGroup } from '../group.ts'
import { left } from './left.ts'
import { recordTry } from './recordtry.ts'
import type { Refusal } from './refusal.ts'
import type { Run } from './run.ts'
import { nextTarget } from './target.ts'
import type { Operation } from './operation.ts'
import { RetryWaits } from './retrywaits.ts'

/** Time limit for connecting to another host, so that a dead host doesn't use up the operation's time. */
const FORWARD_DIAL_TIMEOUT_MS = 300
/** Part of the latency aim for which an operation waits for a token of its team. */
const TOKEN_WAIT_SHARE = 0.3
/** Part of the remaining time for which an operation waits for token issuers that don't answer, as when all hosts start. */
const SILENT_ISSUER_SHARE = 0.5
/** Part of the latency aim within which an operation should start at the endpoint. */
const START_SHARE = 0.7
/** Retry delay while there is no primary: about the time to find a new one. */
const LEADERLESS_RETRY_MS = 500

/** Resolves before the operation's deadline; never rejects. */
export async function tryAll (ctx: PoolContext, operation: Operation): Promise<Run> {
  const gate = Gate.open(ctx, operation.route, operation.key)
  if (!(gate instanceof Gate)) return gate
  const run = await tryEach(ctx, operation, gate)
  gate.close()
  return run
}

async function tryEach (ctx: PoolContext, operation: Operation, gate: Gate): Promise<Run> {
  const group = ctx.group(operation.route.group)
  if (group === undefined) return { fault: 'busy', retryAfterMs: LEADERLESS_RETRY_MS }
  const waits = RetryWaits.of(group, operation, ctx.metrics)
  const run = await tryInTurn(ctx, group, operation, gate, waits)
  waits.end()
  return run
}

async function tryInTurn (ctx: PoolContext, group: PoolGroup, operation: Operation, gate: Gate, waits: RetryWaits): Promise<Run> {
  const { route: { freshness }, mustLead, deadline, newestCommit, mayForward } = operation
  let last: Refusal = { fault: 'busy', retryAfterMs: LEADERLESS_RETRY_MS }
  const tried = new Set<EndpointId>()
  const full = new Set<EndpointId>()
  for (let count = 0; count < group.retryPolicy.maxTries(group.endpoints.length) && left(deadline) > 0;) {
    if (waits.isDropped) return { ...last, cause: 'left' }
    const target = await nextTarget(group, { mustLead, freshness, newestCommit, team: gate.team?.id, mayForward, tried, remainingMs: left(deadline) })
    const waited = await waitForTarget(target, full, waits)
    if (typeof waited !== 'string') return { ...last, ...waited }
    if (waited === 'anew') clearAll(tried, full)
    if (target === undefined || waited !== 'go') continue
    count++
    tried.add(target.endpoint)
    const once = await tryOnce(ctx, group, target, operation, gate, waits)
    if (once.kind === 'done') return once.run
    // A read that failed at one endpoint stays `failed`, even if the next endpoint has no room.
    if (last.fault !== 'failed') last = once.refused
    if (last.cause === 'full') full.add(target.endpoint)
    if (once.kind === 'refused') return last
    const next = once.kind === 'short' ? await waits[once.of](() => ctx.retryBudget.tryTakeRetry(clock.now())) : 'go'
    if (typeof next !== 'string') return { ...last, cause: next.cause }
  }
  return last
}

/** Waits for a primary if there is no target, or for room if the target was full. */
async function waitForTarget (target: Target | undefined, full: ReadonlySet<EndpointId>, waits: RetryWaits): ReturnType<RetryWaits['forLeader']> {
  if (target === undefined) return await waits.forLeader()
  return full.has(target.endpoint) ? await waits.forRoom() : 'go'
}

function clearAll (...sets: ReadonlyArray<Set<EndpointId>>): void {
  for (const set of sets) set.clear()
}

type AttemptResult =
  | { readonly kind: 'done', readonly run: Run }
  | { readonly kind: 'refused' | 'elsewhere', readonly refused: Refusal }
  /** It may be tried again after waiting for the missing resource. */
  | { readonly kind: 'short', readonly of: 'forReach' | 'forBudget', readonly refused: Refusal }

/**
 * Closes the connection of a read once its endpoint is known to be unreachable, so that another endpoint can serve it. A single
 * write keeps waiting, since only its answer shows whether it ran.
 */
async function tryOnce (ctx: PoolContext, group: PoolGroup, target: Target, operation: Operation, gate: Gate, waits: RetryWaits): Promise<AttemptResult> {
  const began = clock.now()
  const { after, mustLead } = target
  const endpoint = target.via === undefined ? target.endpoint : ForwardedSource.by(target.via).endpoint.id
  const note = (ending: string, position?: Token) => recordTry(ctx, operation.trail, {
    endpoint, after, mustLead, what: operation.what, isInTransaction: operation.isInTransaction, hasWritten: false, ending, position, ms: clock.now() - began
  })
  const refused = target.via === undefined ? await fetchToken(gate, operation) : undefined
  if (refused !== undefined) return { kind: 'refused', refused }
  const attempt = target.via === undefined ? await borrow(group, target, operation, gate, waits.gone) : await forward(ctx, group, target.via, operation)
  if (!(attempt instanceof Attempt)) {
    note('no connection')
    return resultWithoutConnection(group, attempt, target)
  }
  if (waits.isDropped) {
    attempt.release()
    return { kind: 'refused', refused: { fault: 'busy', retryAfterMs: 0, cause: 'left' } }
  }
  const unwatch = group.retryPolicy.isRetriedElsewhere(operation) && target.via === undefined ? group.watchers.watch(target.endpoint, () => attempt.link.close()) : undefined
  const sentAt = clock.now()
  const answer = await operation.run(attempt, target)
  unwatch?.()
  if (typeof answer === 'string') note(answer)
  else note('done', answer.position)
  if (typeof answer === 'string') {
    gate.prepareRetry(MAY_HAVE_RUN.has(answer))
    return resultOfEnding(ctx, answer, operation)
  }
  group.recordServiceTime(clock.now() - sentAt)
  ctx.retryBudget.recordSuccess()
  return { kind: 'done', run: { answer, attempt } }
}

/**
 * An operation that needs the primary has no other endpoint. It waits while the primary is silent but not yet known to be
 * unreachable, during which admission refuses because the queue doesn't move.
 */
function resultWithoutConnection (group: PoolGroup, refused: Refusal, { endpoint, mustLead, via }: Target): AttemptResult {
  if (!mustLead) return { kind: 'elsewhere', refused }
  const isInDoubt = via === undefined && (refused.cause === 'unreachable' || group.reachability(endpoint).isSuspect(clock.now()))
  return isInDoubt ? { kind: 'short', of: 'forReach', refused } : { kind: 'refused', refused }
}

function resultOfEnding (ctx: PoolContext, ending: Ending, { what, isInTransaction }: Operation): AttemptResult {
  const verdict = verdictOf(ending, { what, isInTransaction, isFirst: true, hasWritten: false })
  if (verdict.kind === 'refuse') return { kind: 'refused', refused: { fault: verdict.fault, retryAfterMs: 0 } }
  const refused: Refusal = { fault: faultOf(ending), retryAfterMs: LEADERLESS_RETRY_MS, cause: ending === 'busy' ? 'full' : undefined }
  // A redirection costs the endpoint no work, so it isn't charged to the retry budget.
  const isFree = ending === 'behind' || ending === 'notPrimary'
  return isFree || ctx.retryBudget.tryTakeRetry(clock.now()) ? { kind: 'elsewhere', refused } : { kind: 'short', of: 'forBudget', refused }
}

async function fetchToken (gate: Gate, { route, deadline }: Operation): Promise<Refusal | undefined> {
  const remainingMs = left(deadline)
  return await gate.fetchToken(Math.min(route.aimMs * TOKEN_WAIT_SHARE, remainingMs), remainingMs * SILENT_ISSUER_SHARE)
}

/** Endings after which the statement may have run. */
const MAY_HAVE_RUN: ReadonlySet<Ending> = new Set<Ending>(['broken', 'outOfTime', 'failed', 'timeout', 'unknown'])

const CAUSES: Readonly<Record<'busy' | 'unreachable', Cause>> = { busy: 'queue', unreachable: 'unreachable' }

async function borrow (group: PoolGroup, target: Target, { route, database, deadline, isInTransaction, values }: Operation, gate: Gate, gone: AbortSignal | undefined): Promise<Attempt | Refusal> {
  const team = gate.team?.id
  const connectionPool = group.connectionPool(target.endpoint)
  if (connectionPool === undefined) return { fault: 'busy', retryAfterMs: LEADERLESS_RETRY_MS }
  const borrowed = await connectionPool.borrow({ rank: route.rank, caller: team ?? database, team, remainingMs: left(deadline), aimMs: left(deadline) - route.statementTimeoutMs + route.aimMs * START_SHARE, isTransaction: isInTransaction, values, gone })
  if (borrowed.isOk()) return Attempt.on(group, connectionPool, borrowed.value, gate)
  return { fault: 'busy', retryAfterMs: borrowed.error.retryAfterMs, cause: CAUSES[borrowed.error.reason] }
}

async function forward (ctx: PoolContext, group: PoolGroup, host: PoolHost, { database, deadline, key }: Operation): Promise<Attempt | Refusal> {
  const dialled = await ctx.dialHost(host, database, key, Math.min(FORWARD_DIAL_TIMEOUT_MS, left(deadline)))
  return dialled.isOk() ? Attempt.on(group, ForwardedSource.by(host), dialled.value) : { fault: 'busy', retryAfterMs: LEADERLESS_RETRY_MS, cause: 'unreachable' }
}

/** The fault for an operation that ended so and wasn't run, if no endpoint is left. */
function faultOf (ending: Ending): Fault {
  return ending === 'broken' || ending === 'outOfTime' || ending === 'unknownStatement' ? 'aborted' : ending
}
