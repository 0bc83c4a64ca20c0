/** A tiny database group with three servers and proxies before it, for the tests of reads; every step is one event. */

import { Group } from '../src/core/group/group.ts'
import { Sample } from '../src/core/group/sample.ts'
import { TermHistory } from '../src/core/termhistory.ts'
import type { EndpointId } from '../src/core/id/endpoint.ts'
import type { GroupId } from '../src/core/id/group.ts'
import type { Instant } from '../src/core/id/instant.ts'
import type { Position } from '../src/core/id/position.ts'
import type { SessionId } from '../src/core/id/session.ts'
import type { Term } from '../src/core/id/term.ts'
import { fingerprint } from '../src/core/session/fingerprint.ts'
import { requiredToken } from '../src/core/session/requiredtoken.ts'
import { RecentWrites } from '../src/core/session/recentwrites.ts'
import { Token } from '../src/core/token.ts'
import type { Freshness } from '../src/core/routing/freshness.ts'
import { Watermarks } from '../src/core/routing/watermarks.ts'
import { routeRead } from '../src/core/routing/route.ts'

interface Entry {
  readonly session: string
  readonly term: number
  readonly at: number
  isAcknowledged: boolean
}

interface Server {
  readonly id: EndpointId
  role: Sample['role']
  term: number
  alignedTerm: number
  log: Entry[]
  applied: number
  starts: ReadonlyArray<{ readonly term: number, readonly position: number }>
}

interface Proxy {
  group: Group
  marks: Watermarks
  writes: RecentWrites
  notes: Array<{ readonly term: number, readonly position: number, readonly session: string }>
}

const GROUP = 'g' as GroupId
const NOTES = 6

/** Servers and proxies. A read throws when it breaks a promise, and says which. */
export class FakeGroup {
  now = 1
  readonly served = { replica: 0, primary: 0 }
  private servers: Server[] = [0, 1, 2].map(i => ({
    id: `e${i}` as EndpointId, role: i === 0 ? 'primary' : 'replica', term: 1, alignedTerm: 1, log: [], applied: 0, starts: [{ term: 1, position: 0 }]
  }))

  private proxies: Proxy[] = [0, 1].map(() => this.newProxy())
  private readonly tokens = new Map<string, Token>()

  /** The primary of the newest term. */
  private get primary (): Server {
    return this.servers.filter(one => one.role === 'primary').reduce((a, b) => b.term > a.term ? b : a)
  }

  restart (proxy: number): void {
    this.proxies[proxy] = this.newProxy()
  }

  /** A write at `server`, if that says it's primary; acknowledged when `second` has it in the same term. */
  write (session: string, server: number, second: number): void {
    const primary = this.servers[server]!
    if (primary.role !== 'primary') return
    const entry: Entry = { session, term: primary.term, at: this.now, isAcknowledged: false }
    primary.log = [...primary.log, entry]
    primary.applied = primary.log.length
    const position = primary.log.length
    for (const proxy of this.proxies) proxy.notes.push({ term: primary.term, position, session })
    this.receive(second)
    const other = this.servers[second]!
    if (other === primary || other.term !== primary.term || other.log.length < position) return
    entry.isAcknowledged = true
    this.tokens.set(session, (this.tokens.get(session) ?? Token.zero).max(Token.of(primary.term, position)))
  }

  receive (server: number): void {
    const replica = this.servers[server]!
    const source = this.servers.find(one => one.role === 'primary' && one.term === replica.term)
    if (replica.role !== 'replica' || source === undefined) return
    if (replica.alignedTerm !== replica.term) this.align(replica, source)
    replica.log = [...source.log]
  }

  apply (server: number, count: number): void {
    const replica = this.servers[server]!
    if (replica.role === 'replica') replica.applied = Math.min(replica.log.length, replica.applied + count)
  }

  /** The server is cut off and replaced; it goes on believing that it's primary until it's told to follow. */
  failOver (): void {
    const old = this.primary
    const rest = this.servers.filter(one => one !== old && one.term <= old.term)
    if (rest.length < 2) return
    const best = rest.reduce((a, b) => isLonger(b, a) ? b : a)
    const term = old.term + 1
    for (const one of rest) Object.assign(one, { term, role: 'replica' })
    Object.assign(best, { role: 'primary', alignedTerm: term, applied: best.log.length, starts: [...best.starts, { term, position: best.log.length }] })
  }

  /** Tells a replaced primary to follow; its log stays as it is until the new one answers it. */
  rejoin (): void {
    const { term } = this.primary
    for (const one of this.servers) {
      if (one.term < term) Object.assign(one, { term, role: 'replica' })
    }
  }

  sample (proxy: number, server: number): void {
    const { id, role, term, log, applied, starts } = this.servers[server]!
    const one = this.proxies[proxy]!
    one.group = one.group.with(Sample.unknown(id).with({
      role,
      term: term as Term,
      lastTerm: (log.at(-1)?.term ?? 0) as Term,
      received: log.length as Position,
      applied: applied as Position,
      history: TermHistory.of(starts.map(start => ({ term: start.term as Term, position: start.position as Position }))),
      reachable: true
    }))
  }

  /** Takes in, or loses, the oldest notes on their way to the proxy. */
  notes (proxy: number, count: number, isLost: boolean): void {
    const { notes, writes } = this.proxies[proxy]!
    for (const { term, position, session } of notes.splice(0, count)) {
      if (!isLost) writes.add(term as Term, position as Position, fingerprint(session as SessionId))
    }
  }

  /** A read of a session known by its id alone, or by the token that it brings. */
  read (at: number, session: string, freshness: Freshness, bringsToken: boolean): void {
    const proxy = this.proxies[at]!
    const asked = this.now
    const bound = bringsToken && freshness.kind === 'session' ? undefined : this.bound(proxy)
    if (bound !== undefined) proxy.marks = proxy.marks.with(bound, asked as Instant)
    if (bound === undefined && !bringsToken) freshness = { kind: 'strict' }
    const known = bringsToken ? this.tokens.get(session) ?? Token.zero : Token.zero
    const token = requiredToken({ group: proxy.group, known, bound, writes: proxy.writes, session: fingerprint(session as SessionId) })
    const route = routeRead({
      group: proxy.group, freshness, token, watermarks: proxy.marks, near: new Set(), now: this.now as Instant, chance: 0, since: asked as Instant, isRefreshed: true, isWriteNoticePending: false
    })
    if (route.kind === 'lost') throw new Error(`an acknowledged write of ${session} is called lost`)
    if (route.kind === 'replica') {
      this.check(this.server(route.endpoint), session, freshness)
      this.checkFork(this.server(route.endpoint), proxy)
    }
    if (route.kind === 'primary' && this.isProved(this.server(route.endpoint))) this.check(this.server(route.endpoint), session, freshness)
  }

  private check (server: Server, session: string, freshness: Freshness): void {
    this.served[server.role === 'replica' ? 'replica' : 'primary']++
    const shown = new Set(server.log.slice(0, server.applied))
    const current = this.primary.log
    for (const entry of current) {
      if (!entry.isAcknowledged || shown.has(entry)) continue
      const age = this.now - entry.at
      if (entry.session === session) throw new Error(`${session} does not see its own write`)
      if (freshness.kind === 'strict') throw new Error('a strict read is stale')
      if (freshness.kind === 'age' && age > freshness.ms) throw new Error(`a read of age ${freshness.ms} is ${age} old`)
    }
  }

  /** Holds only while the proxy's sample is of the term that the server is in. */
  private checkFork (server: Server, proxy: Proxy): void {
    if (server.role !== 'replica' || proxy.group.sample(server.id)!.term !== server.term) return
    const shown = new Set(server.log.slice(0, server.applied))
    const current = this.primary.log
    const vanished = [...shown].some(entry => !current.includes(entry))
    if (vanished) throw new Error('a replica shows a write that was dropped at a fork')
  }

  private bound (proxy: Proxy): Token | undefined {
    const { primary } = proxy.group
    if (primary === undefined) return undefined
    const server = this.server(primary.endpoint)
    if (server.term !== primary.term || !this.isProved(server)) return undefined
    return Token.of(server.term, server.log.length)
  }

  /** Whether it and a second server, which has its history, say that no newer term began. */
  private isProved (server: Server): boolean {
    return server.role === 'primary' && this.servers.some(one =>
      one !== server && one.term === server.term && one.alignedTerm === server.term)
  }

  private align (replica: Server, source: Server): void {
    const fork = source.starts.find(start => start.term > (replica.log.at(-1)?.term ?? 0))
    if (fork !== undefined) replica.applied = Math.min(replica.applied, fork.position)
    replica.starts = source.starts
    replica.alignedTerm = replica.term
  }

  private server (id: EndpointId): Server {
    return this.servers.find(one => one.id === id)!
  }

  private newProxy (): Proxy {
    return { group: Group.of(GROUP, this.servers.map(one => one.id)), marks: Watermarks.empty, writes: RecentWrites.create(NOTES), notes: [] }
  }
}

function isLonger (a: Server, b: Server): boolean {
  const [termA, termB] = [a.log.at(-1)?.term ?? 0, b.log.at(-1)?.term ?? 0]
  return termA === termB ? a.log.length > b.log.length : termA > termB
}
