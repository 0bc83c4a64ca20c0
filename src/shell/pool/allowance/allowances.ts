/** Takes and issues the tokens of team allowances on this host. */

import { err, ok, type Result } from 'neverthrow'
import type { AllowanceBounds } from '../../../core/allowance/bounds.ts'
import { TokenIssuer } from '../../../core/allowance/tokenissuer.ts'
import { IssuerTable } from '../../../core/allowance/issuertable.ts'
import { IssuerLease } from '../../../core/allowance/issuerlease.ts'
import type { Rate } from '../../../core/allowance/rate.ts'
import { Shard } from '../../../core/allowance/shard.ts'
import { IssuerBackOff } from '../../../core/allowance/issuerbackoff.ts'
import { TeamTokens } from '../../../core/allowance/teamtokens.ts'
import type { HostId } from '../../../core/id/host.ts'
import type { Instant } from '../../../core/id/instant.ts'
import type { TeamId } from '../../../core/id/team.ts'
import type { Team } from '../../../core/pool/access/team.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import type { PoolMetrics } from '../metrics.ts'
import type { TokenTransport } from './tokentransport.ts'

interface Options {
  readonly self: HostId
  readonly bounds: AllowanceBounds
  /** Longest staleness of the shared table, in milliseconds, with which this host still issues tokens. */
  readonly trustMs: number
  readonly isFirstStart: boolean
  /** When this process started, on the monotonic clock. */
  readonly bornAt: Instant
  /** Staleness of the shared table, in milliseconds. */
  readonly ageMs: () => number
  readonly team: (id: TeamId) => Team | undefined
  readonly hosts: () => readonly PoolHost[]
  readonly port: TokenTransport
  readonly metrics: PoolMetrics
  readonly chance: () => number
  /** The monotonic clock, for waits and for accumulating tokens. It stops while the host is suspended. */
  readonly now: () => Instant
  /** The clock that also counts the time for which the host was suspended, for expiry. */
  readonly age: () => Instant
  readonly pause: (ms: number) => Promise<void>
  /** Called once, if this process restarted at places at which its host issued before. */
  readonly onStarted: (places: readonly number[]) => void
  /** Called when the issuer at a place answered, in time or later, and when it didn't in time. */
  readonly onAskEnded: (place: number, isAnswered: boolean) => void
}

interface Waiter {
  /** Limit of the wait while it's known when the next token comes. */
  readonly until: Instant
  /** Limit of the wait while some tokens come. */
  readonly overdueAt: Instant
  /** Limit of the wait while issuers don't answer. */
  readonly last: Instant
  readonly answer: (taken: Result<Instant, number>) => void
}

interface Account {
  readonly tokens: TeamTokens
  /** The rate from which the places were computed at which its tokens are requested. */
  rate: Rate | undefined
  /** In order of arrival. */
  readonly waiting: Waiter[]
  isAsking: boolean
  /** When the next token is expected; in the past while tokens may be available. */
  freeAt: Instant
  /** Whether an issuer that didn't answer is the reason for waiting. */
  isSilent: boolean
}

/** Longest wait for an issuer's answer before another place is asked. */
const ANSWER_TIMEOUT_MS = 100
/** Shortest retry delay that a caller gets. */
const MIN_RETRY_MS = 5
/** Retry delay for a host that asks at a place without a shard of the team, because its configuration is outdated. */
const WRONG_PLACE_RETRY_MS = 500
/** Multiple of its longest wait for which an operation waits while some tokens come. */
const OVERDUE_FACTOR = 2
/** Lower limit of a team's rate in the calculation of retry delays. */
const MIN_RATE_PER_SECOND = 0.01

export class Allowances {
  private issuers: IssuerTable | undefined
  private issuerLease: IssuerLease
  /** Whether `onStarted` was called. */
  private hasStarted = false
  private readonly issuer = TokenIssuer.create()
  private readonly backOff = IssuerBackOff.create()
  private readonly accounts = new Map<TeamId, Account>()
  private readonly shards = new WeakMap<Rate, Shard>()

  private constructor (private readonly options: Options) {
    const { self, trustMs, isFirstStart, bornAt, port } = options
    this.issuerLease = IssuerLease.none({ self, leaseMs: trustMs, isFirstStart, processStartedAt: bornAt })
    port.onRequest((team, place, count) => this.issue(team, place, count))
  }

  static create (options: Options): Allowances {
    return new Allowances(options)
  }

  /** Takes in the shared row that names the issuers. */
  updateIssuers (text: string): void {
    const issuers = IssuerTable.decode(text)
    if (issuers === undefined) return
    this.issuers = issuers
    this.issuerLease = this.issuerLease.withTable(issuers, this.options.now())
    for (const [id, { tokens }] of this.accounts) tokens.setPlaces(this.placesOf(this.options.team(id)))
    const begun = this.hasStarted ? [] : this.issuerLease.restartedPlaces()
    if (begun.length === 0) return
    this.hasStarted = true
    this.options.onStarted(begun)
  }

  /** Gives the buckets of a place their initial credit, once the store confirmed that they had none in this window. */
  credit (place: number): void {
    const now = this.options.now()
    const since = this.issuerLease.issuesSince(place, 0, now)
    if (since !== undefined) this.issuer.credit(place, since, now)
  }

  /**
   * Takes a token for one operation of the team; resolves with its expiry, or with the retry delay in milliseconds. `maxWaitMs`: the
   * longest wait for a token; without a wait if it's known to come later. `maxSilentMs`: the longest wait while issuers don't answer, as when they start.
   */
  async take (team: Team, maxWaitMs: number, maxSilentMs: number): Promise<Result<Instant, number>> {
    const account = this.accountOf(team)
    const taken = account.waiting.length === 0 ? account.tokens.take(this.options.age()) : undefined
    if (taken !== undefined) {
      this.askAhead(team, account)
      return ok(taken)
    }
    return await new Promise(resolve => {
      const now = this.options.age()
      account.waiting.push({ until: now + maxWaitMs as Instant, overdueAt: now + OVERDUE_FACTOR * maxWaitMs as Instant, last: now + maxSilentMs as Instant, answer: resolve })
      if (!account.isAsking) this.ask(team, account)
      else if (account.freeAt > now) this.refuseLate(team, account)
    })
  }

  /** Takes a token that is at hand and returns its expiry; undefined if there is none. */
  takeAvailable (team: Team): Instant | undefined {
    return this.accountOf(team).tokens.take(this.options.age())
  }

  returnToken ({ id }: Team, token: Instant): void {
    this.accounts.get(id)?.tokens.putBack(token)
  }

  private accountOf (team: Team): Account {
    const { id } = team
    const known = this.accounts.get(id)
    // Another rate may have another number of shards.
    if (known !== undefined && known.rate !== team.rate) known.tokens.setPlaces(this.placesOf(team))
    if (known !== undefined) return Object.assign(known, { rate: team.rate })
    const account: Account = { rate: team.rate, tokens: TeamTokens.of(this.placesOf(team), this.backOff, this.options.chance(), this.options.age()), waiting: [], isAsking: false, freeAt: -Infinity as Instant, isSilent: false }
    this.accounts.set(id, account)
    return account
  }

  private placesOf (team: Team | undefined): readonly number[] {
    return this.issuers === undefined || team?.rate === undefined ? [] : this.shardOf(team.rate).placesOf(team.id, this.issuers.places.length)
  }

  private shardOf (rate: Rate): Shard {
    const known = this.shards.get(rate) ?? Shard.of(rate, this.options.bounds)
    this.shards.set(rate, known)
    return known
  }

  private askAhead (team: Team, account: Account): void {
    const { tokens, isAsking } = account
    const now = this.options.age()
    const { lifetimeMs } = this.shardOf(team.rate!)
    if (!isAsking && tokens.left(now) * 2 < tokens.prefetchCount(lifetimeMs, now)) this.ask(team, account)
  }

  /** Requests tokens at one place after another until all waiting operations are served or refused. */
  private async ask (team: Team, account: Account): Promise<void> {
    const { tokens, waiting } = account
    const { lifetimeMs } = this.shardOf(team.rate!)
    account.isAsking = true
    do {
      const now = this.options.age()
      const next = tokens.next(waiting.length, lifetimeMs, now)
      if (next.kind === 'none') {
        account.freeAt = now + next.ms as Instant
        account.isSilent = next.isSilent
        this.refuseLate(team, account)
        if (waiting.length > 0) await this.options.pause(Math.max(MIN_RETRY_MS, next.ms))
      } else {
        const isAnswered = await this.askAt(next.place, next.count, team, account, lifetimeMs)
        this.serve(account)
        this.refuseOverdue(team, account, isAnswered)
      }
    } while (waiting.length > 0)
    account.isAsking = false
  }

  /** Requests tokens at a place; resolves with whether it answered. */
  private async askAt (place: number, count: number, team: Team, { tokens }: Account, lifetimeMs: number): Promise<boolean> {
    const { hosts, port, metrics, onAskEnded } = this.options
    const askedAt = this.options.age()
    const host = hosts().find(({ id }) => id === this.issuers?.hostAt(place))
    // Behind a full link all answers are late, which says nothing of the issuer.
    const onLate = () => { if (host?.id === this.issuers?.hostAt(place)) onAskEnded(place, true) }
    const answer = host === undefined ? undefined : await port.ask(host, { team: team.id, place, count }, ANSWER_TIMEOUT_MS, onLate)
    metrics.tokenAsks.inc({ outcome: answer === undefined ? 'silent' : answer.count > 0 ? 'issued' : 'none' })
    onAskEnded(place, answer !== undefined)
    if (answer !== undefined) this.backOff.answered(place)
    if (answer === undefined) this.backOff.recordTimeout(place, this.options.age())
    else tokens.answered(place, { ...answer, askedAt, lifetimeMs }, this.options.age())
    return answer !== undefined
  }

  private serve ({ tokens, waiting }: Account): void {
    const now = this.options.age()
    while (waiting.length > 0) {
      const token = tokens.take(now)
      if (token === undefined) return
      waiting.shift()!.answer(ok(token))
    }
  }

  /**
   * Refuses operations that have waited for twice their longest wait while issuers answer. A team over its allowance may get some
   * tokens with each request, so `refuseLate` doesn't apply, and its operations would get their tokens too late to use them.
   * A team within its allowance gets its token in this time, even if some places have none.
   */
  private refuseOverdue ({ rate }: Team, account: Account, isAnswered: boolean): void {
    const now = this.options.age()
    const overdue = account.waiting.filter(({ overdueAt: overdue, last }) => now > (isAnswered ? overdue : last))
    if (overdue.length === 0) return
    account.waiting.splice(0, account.waiting.length, ...account.waiting.filter(one => !overdue.includes(one)))
    const perTokenMs = 1000 / Math.max(rate?.perSecond ?? 0, MIN_RATE_PER_SECOND)
    for (const [i, { answer }] of overdue.entries()) answer(err(Math.max(MIN_RETRY_MS, Math.ceil((account.waiting.length + i) * perTokenMs))))
  }

  /** Refuses operations whose token is known to come too late, given the number of operations before them. */
  private refuseLate ({ rate }: Team, account: Account): void {
    const { waiting, freeAt, isSilent } = account
    const now = this.options.age()
    const perTokenMs = 1000 / Math.max(rate!.perSecond, MIN_RATE_PER_SECOND)
    const freeMs = Math.max(0, freeAt - now)
    const late = waiting.filter(({ until, last }, i) => now + freeMs + (isSilent ? 0 : i * perTokenMs) > (isSilent ? last : until))
    account.waiting.splice(0, waiting.length, ...waiting.filter(one => !late.includes(one)))
    for (const [i, { answer }] of late.entries()) answer(err(Math.max(MIN_RETRY_MS, Math.ceil(freeMs + (account.waiting.length + i) * perTokenMs))))
  }

  /** Answers a token request of another host; undefined if this host must not issue at the place. */
  private issue (id: TeamId, place: number, count: number): { readonly count: number, readonly nextMs: number } | undefined {
    const now = this.options.now()
    const since = this.issuerLease.issuesSince(place, this.options.ageMs(), now)
    const team = this.options.team(id)
    if (since === undefined || team?.rate === undefined) return undefined
    // A host with another version of the configuration may ask at the wrong place. It gets an answer, so that it doesn't count this host as silent.
    if (!this.placesOf(team).includes(place)) return { count: 0, nextMs: WRONG_PLACE_RETRY_MS }
    return this.issuer.issue({ place, team: id, count, shard: this.shardOf(team.rate), since }, now)
  }
}
