/** The allowances of teams, as this host uses and issues them. */

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
  /** Nothing is issued on older knowledge of who issues; milliseconds. */
  readonly trustMs: number
  readonly isFirstStart: boolean
  /** When this process began, on the monotonic clock. */
  readonly bornAt: Instant
  /** How old the knowledge of the shared table may be, in milliseconds. */
  readonly ageMs: () => number
  readonly team: (id: TeamId) => Team | undefined
  readonly hosts: () => readonly PoolHost[]
  readonly port: TokenTransport
  readonly metrics: PoolMetrics
  readonly chance: () => number
  /**
   * The monotonic clock, for waits and for what gathers: it stands still while the host is suspended, and so never runs ahead. The other counts suspension, by a leap, and
   * is for what lapses.
   */
  readonly now: () => Instant
  readonly age: () => Instant
  readonly pause: (ms: number) => Promise<void>
  /** Once: this process starts anew at places that were this host's before. */
  readonly onStarted: (places: readonly number[]) => void
  /** The host that should issue at the place answered, or didn't in time. */
  readonly onAskEnded: (place: number, isAnswered: boolean) => void
}

interface Waiter {
  /** Until when it waits for a token that is known to come, */
  readonly until: Instant
  /** for one that isn't known not to come, */
  readonly overdueAt: Instant
  /** and for issuers that don't answer. */
  readonly last: Instant
  readonly answer: (taken: Result<Instant, number>) => void
}

interface Account {
  readonly tokens: TeamTokens
  /** By which the places were worked out at which its tokens are asked for. */
  rate: Rate | undefined
  /** The first that came first. */
  readonly waiting: Waiter[]
  isAsking: boolean
  /** When the next token comes, as far as that is known; past while some may be had. */
  freeAt: Instant
  /** Whether that is because an issuer didn't answer. */
  isSilent: boolean
}

/** An issuer answers within milliseconds; one that is busy with a start within this. Then another place is asked. Milliseconds. */
const ANSWER_MS = 100
/** The least time to come back that a caller is told: a round trip. Milliseconds. */
const MIN_RETRY_MS = 5
/** A host that asks at a place that holds none of the team's shards asks there again after so long: by then it has the newer configuration, as a rule. Milliseconds. */
const WRONG_PLACE_RETRY_MS = 500
/** While some tokens come an operation waits for so many times its patience. */
const OVERDUE_FACTOR = 2
/** Operations a second; what a team without any is taken to get, for the time to come back. */
const MIN_RATE_PER_SECOND = 0.01

export class Allowances {
  private issuers: IssuerTable | undefined
  private mandate: IssuerLease
  /** Whether it was told that this process starts anew at places. */
  private hasStarted = false
  private readonly issuer = TokenIssuer.create()
  private readonly silence = IssuerBackOff.create()
  private readonly accounts = new Map<TeamId, Account>()
  private readonly shards = new WeakMap<Rate, Shard>()

  private constructor (private readonly options: Options) {
    const { self, trustMs, isFirstStart, bornAt, port } = options
    this.mandate = IssuerLease.none({ self, leaseMs: trustMs, isFirstStart, processStartedAt: bornAt })
    port.onRequest((team, place, count) => this.issue(team, place, count))
  }

  static create (options: Options): Allowances {
    return new Allowances(options)
  }

  /** The shared row says who issues. */
  updateIssuers (text: string): void {
    const issuers = IssuerTable.decode(text)
    if (issuers === undefined) return
    this.issuers = issuers
    this.mandate = this.mandate.withTable(issuers, this.options.now())
    for (const [id, { tokens }] of this.accounts) tokens.setPlaces(this.placesOf(this.options.team(id)))
    const begun = this.hasStarted ? [] : this.mandate.restartedPlaces()
    if (begun.length === 0) return
    this.hasStarted = true
    this.options.onStarted(begun)
  }

  /** The place was started anew for the first time in a window: its buckets began with their credit. */
  credit (place: number): void {
    const now = this.options.now()
    const since = this.mandate.issuesSince(place, 0, now)
    if (since !== undefined) this.issuer.credit(place, since, now)
  }

  /**
   * A token for one operation of the team, and until when it counts; or the milliseconds after which there is one. `patienceMs`: a token that comes within
   * that is waited for, and one that is known not to isn't. `mostMs`: for so long issuers that don't answer are waited for, as after a power loss, when they start too.
   */
  async take (team: Team, patienceMs: number, mostMs: number): Promise<Result<Instant, number>> {
    const account = this.accountOf(team)
    const taken = account.waiting.length === 0 ? account.tokens.take(this.options.age()) : undefined
    if (taken !== undefined) {
      this.askAhead(team, account)
      return ok(taken)
    }
    return await new Promise(resolve => {
      const now = this.options.age()
      account.waiting.push({ until: now + patienceMs as Instant, overdueAt: now + OVERDUE_FACTOR * patienceMs as Instant, last: now + mostMs as Instant, answer: resolve })
      if (!account.isAsking) this.ask(team, account)
      else if (account.freeAt > now) this.refuseLate(team, account)
    })
  }

  /** One that is in hand; undefined when there is none. */
  takeAvailable (team: Team): Instant | undefined {
    return this.accountOf(team).tokens.take(this.options.age())
  }

  returnToken ({ id }: Team, token: Instant): void {
    this.accounts.get(id)?.tokens.putBack(token)
  }

  private accountOf (team: Team): Account {
    const { id } = team
    const known = this.accounts.get(id)
    // Another allowance may lie in more shards, or in fewer.
    if (known !== undefined && known.rate !== team.rate) known.tokens.setPlaces(this.placesOf(team))
    if (known !== undefined) return Object.assign(known, { rate: team.rate })
    const account: Account = { rate: team.rate, tokens: TeamTokens.of(this.placesOf(team), this.silence, this.options.chance(), this.options.age()), waiting: [], isAsking: false, freeAt: -Infinity as Instant, isSilent: false }
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

  /** Asks one place after the other until those that wait have what they need, or there is nothing to be had. */
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

  /** Resolves with whether the place answered. */
  private async askAt (place: number, count: number, team: Team, { tokens }: Account, lifetimeMs: number): Promise<boolean> {
    const { hosts, port, metrics, onAskEnded: onAsked } = this.options
    const askedAt = this.options.age()
    const host = hosts().find(({ id }) => id === this.issuers?.hostAt(place))
    const answer = host === undefined ? undefined : await port.ask(host, { team: team.id, place, count }, ANSWER_MS)
    metrics.tokenAsks.inc({ outcome: answer === undefined ? 'silent' : answer.count > 0 ? 'issued' : 'none' })
    onAsked(place, answer !== undefined)
    if (answer !== undefined) this.silence.answered(place)
    if (answer === undefined) this.silence.recordTimeout(place, this.options.age())
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
   * Guard against a team that asks more than its allowance and finds some tokens with each question: so it's never known that there are none, its
   * operations wait for as long as they are many, and those that get a token at last have no time left to use it. It shows as a team that is served
   * late or not at all, its allowed part with it. Whoever has waited for twice as long as it may is refused, while issuers answer: a team that keeps
   * within its allowance finds its token in that time, also where it asks at some places in vain.
   */
  private refuseOverdue ({ rate }: Team, account: Account, isAnswered: boolean): void {
    const now = this.options.age()
    const overdue = account.waiting.filter(({ overdueAt: overdue, last }) => now > (isAnswered ? overdue : last))
    if (overdue.length === 0) return
    account.waiting.splice(0, account.waiting.length, ...account.waiting.filter(one => !overdue.includes(one)))
    const perTokenMs = 1000 / Math.max(rate?.perSecond ?? 0, MIN_RATE_PER_SECOND)
    for (const [i, { answer }] of overdue.entries()) answer(err(Math.max(MIN_RETRY_MS, Math.ceil((account.waiting.length + i) * perTokenMs))))
  }

  /** Refuses those whose turn is known to come too late: the one behind so many others waits for as many tokens. */
  private refuseLate ({ rate }: Team, account: Account): void {
    const { waiting, freeAt, isSilent } = account
    const now = this.options.age()
    const perTokenMs = 1000 / Math.max(rate!.perSecond, MIN_RATE_PER_SECOND)
    const freeMs = Math.max(0, freeAt - now)
    const late = waiting.filter(({ until, last }, i) => now + freeMs + (isSilent ? 0 : i * perTokenMs) > (isSilent ? last : until))
    account.waiting.splice(0, waiting.length, ...waiting.filter(one => !late.includes(one)))
    for (const [i, { answer }] of late.entries()) answer(err(Math.max(MIN_RETRY_MS, Math.ceil(freeMs + (account.waiting.length + i) * perTokenMs))))
  }

  /** What another host asked of this one; undefined when this one may not issue there. */
  private issue (id: TeamId, place: number, count: number): { readonly count: number, readonly nextMs: number } | undefined {
    const now = this.options.now()
    const since = this.mandate.issuesSince(place, this.options.ageMs(), now)
    const team = this.options.team(id)
    if (since === undefined || team?.rate === undefined) return undefined
    // A host with another version of the configuration may take the place for one of the team's. It gets an answer, so that it doesn't take this host for silent.
    if (!this.placesOf(team).includes(place)) return { count: 0, nextMs: WRONG_PLACE_RETRY_MS }
    return this.issuer.issue({ place, team: id, count, shard: this.shardOf(team.rate), since }, now)
  }
}
