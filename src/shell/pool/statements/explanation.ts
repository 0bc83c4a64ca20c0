/** Counts, records and logs each statement that has ended, with the state that its decisions were based on. */

import { classes } from '../../../core/admission/classes.ts'
import type { Cause } from '../../../core/pool/statements/cause.ts'
import type { Congestion } from '../../../core/pool/statements/congestion.ts'
import type { TryHistory } from '../../../core/pool/statements/tryhistory.ts'
import type { Reply } from '../../../core/statement/reply.ts'
import type { Statement } from '../../../core/statement/statement.ts'
import type { Token } from '../../../core/token.ts'
import { clock } from '../clock.ts'
import type { PoolContext } from '../context.ts'
import { congestionOf } from './congestionof.ts'
import type { Transaction } from './transaction.ts'

interface Explained {
  readonly id: string
  readonly session: string
  readonly caller: string
  readonly kind: Statement['kind'] | 'none'
  readonly database: string
  readonly reply: Reply
  readonly trail: TryHistory
  readonly transaction: Transaction | undefined
  readonly newestCommit: Token
  readonly retryAfterMs: number
  /** The cause of a refusal, for operators; undefined if the fault is specific enough. */
  readonly cause: Cause | undefined
}

/** The name for counting statements where callers have no keys. */
const ALL_CALLERS = 'all callers'

/**
 * Counts and records the statement, and logs it if it wasn't done, took more than one try, or is sampled. Returns the id of its
 * audit record; undefined without one.
 */
export function explain (ctx: PoolContext, explained: Explained): string | undefined {
  const ms = clock.now() - explained.trail.since
  const met = countUsage(ctx, explained)
  logStatement(ctx, explained, ms, met)
  return record(ctx, explained, ms, met)
}

/** Counts the statement in its group's usage by team; returns the context of a refusal for lack of capacity. */
function countUsage (ctx: PoolContext, { database, caller, reply, trail, transaction, retryAfterMs }: Explained): Congestion | undefined {
  const config = ctx.config()
  const route = transaction?.route ?? config.route(database)
  const group = route === undefined ? undefined : ctx.group(route.group)
  const team = config.teams === undefined ? undefined : caller
  const fault = reply.kind === 'done' ? undefined : reply.fault
  const met = fault === undefined ? undefined : congestionOf({ group, team, fault, retryAfterMs })
  if (met !== undefined || trail.count > 0) group?.usage.add(team ?? ALL_CALLERS, route?.rank ?? 0, met === undefined ? 'done' : 'refused', clock.now())
  return met
}

/** Statements that this process answers by itself, such as SET, aren't recorded unless they are refused. */
function record ({ auditor, config }: PoolContext, { id, session, caller, kind, database, reply, trail, transaction }: Explained, tookMs: number, met: Congestion | undefined): string | undefined {
  if (reply.kind === 'done' && trail.count === 0) return undefined
  const route = transaction?.route ?? config().route(database)
  return auditor?.take({ request: id, session, caller, kind, database, route, config: config().version, transaction: transaction?.id, trail, ending: reply.kind === 'done' ? 'done' : reply.fault, tookMs, met })
}

function logStatement (ctx: PoolContext, explained: Explained, ms: number, met: Congestion | undefined): void {
  const { id, kind, database, reply, trail, cause } = explained
  const { log, lineBudget, metrics } = ctx
  const outcome = reply.kind === 'done' ? 'done' : reply.fault
  metrics.statements.inc({ database, kind, outcome })
  if (reply.kind === 'refused') metrics.refusals.inc({ cause: cause ?? reply.fault, class: classOf(ctx, explained) })
  if (trail.count > 0) metrics.statementSeconds.observe({ kind }, ms / 1000)
  const isPlain = outcome === 'done' && trail.count < 2
  if (isPlain && !lineBudget.isSampled(id)) return
  const { isGranted, dropped } = lineBudget.acquire(clock.now())
  if (!isGranted) return metrics.linesDropped.inc()
  if (dropped > 0) log.write('linesDropped', { dropped })
  log.write(outcome === 'done' ? 'statementDone' : 'statementRefused', {
    id, database, kind, outcome, ms: Math.round(ms), cause: cause ?? 'none', ...knowledge(ctx, explained), ...met === undefined ? {} : textOf(ctx, explained, met)
  })
}

function classOf ({ config }: PoolContext, { database, transaction }: Explained): string {
  const { rank } = transaction?.route ?? config().route(database) ?? {}
  return classes[rank ?? classes.length] ?? 'none'
}

/** Such as `class=normal team=red before="e0 5 at work, 0/12/40 wait" largest="blue 62%"`. */
function textOf (ctx: PoolContext, explained: Explained, { team, endpoints, largest }: Congestion): Readonly<Record<string, string>> {
  return {
    class: classOf(ctx, explained),
    team: team ?? 'none',
    before: endpoints.map(({ endpoint, atWork, waiting }) => `${endpoint} ${atWork} at work, ${waiting.join('/')} wait`).join('; '),
    largest: largest === undefined ? 'none' : `${largest.team} ${Math.round(largest.part * 100)}%`
  }
}

/** The state that the decisions on the statement were based on. */
function knowledge (ctx: PoolContext, { database, trail, transaction, newestCommit, retryAfterMs }: Explained): Readonly<Record<string, string | number>> {
  const config = ctx.config()
  const route = transaction?.route ?? config.route(database)
  const group = route === undefined ? undefined : ctx.group(route.group)
  const { freshness } = route ?? {}
  return {
    group: route?.group ?? 'none',
    freshness: freshness?.kind === 'age' ? `${freshness.ms} ms` : freshness?.kind ?? 'none',
    tries: trail.toString(),
    transaction: transaction?.id ?? 'none',
    own: newestCommit.toString(),
    leader: group?.leader ?? 'none',
    leaderlessMs: Math.round(group?.leaderlessMs() ?? 0),
    markAgeMs: Math.round(group?.markAgeMs() ?? -1),
    term: group?.term ?? 0,
    config: config.version,
    retryAfterMs: Math.ceil(retryAfterMs)
  }
}
