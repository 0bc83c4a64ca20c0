/**
 * A group of three fake endpoints and the monitors of three processes, all on
 * a virtual clock. Every process holds two slots of the group, so every
 * endpoint has two owners. The promises are checked at every step.
 */

import type { FailoverAction } from '../../src/core/failover/action.ts'
import type { FailoverEvent } from '../../src/core/failover/event.ts'
import { Monitor } from '../../src/core/failover/monitor.ts'
import { Group } from '../../src/core/group/group.ts'
import type { Sample } from '../../src/core/group/sample.ts'
import type { EndpointId } from '../../src/core/id/endpoint.ts'
import type { GroupId } from '../../src/core/id/group.ts'
import type { Instant } from '../../src/core/id/instant.ts'
import type { Term } from '../../src/core/id/term.ts'
import { FakeEndpoint } from './endpoint.ts'
import { FakeNetwork } from './network.ts'

type Token = NonNullable<ReturnType<FakeEndpoint['write']>>

interface Watcher {
  readonly process: string
  readonly endpoint: string
  monitor: Monitor
}

interface Acknowledged extends Token {
  readonly write: number
}

const ENDPOINTS = ['e1', 'e2', 'e3']
const PROCESSES = ['p1', 'p2', 'p3']
const PROBE_MS = 100
const TIMEOUT_MS = 150
const CONFIRM_MS = 1000
const PACE = { misses: 2, quietMs: 250, orphanMs: 1000, stallMs: 800, rankDelayMs: 150, roundMs: 500, jitterMs: 100 }

export class World {
  readonly network: FakeNetwork
  readonly endpoints = new Map(ENDPOINTS.map(id => [id, new FakeEndpoint(id)]))
  /** Promotions ordered since the first primary, in order. */
  readonly promotions: { readonly endpoint: string, readonly term: number, readonly holds: ReadonlySet<number> }[] = []
  readonly acknowledged: Acknowledged[] = []
  /** Broken promises, in words; empty in a correct run. */
  readonly faults: string[] = []
  private readonly watchers: Watcher[]
  private writes = 0

  constructor (seed: number, mostDelay = 10) {
    this.network = new FakeNetwork(seed, mostDelay)
    const group = Group.of('shop' as GroupId, ENDPOINTS as EndpointId[])
    this.watchers = ENDPOINTS.flatMap((endpoint, i) => [0, 1].map(rank => ({
      process: PROCESSES[(i + rank) % PROCESSES.length]!, endpoint, monitor: Monitor.create(group, endpoint as EndpointId, rank, PACE, 0 as Instant)
    })))
    this.endpoints.get('e1')!.seal(1, 'installer')
    this.endpoints.get('e1')!.promote(1, 'installer')
    for (const id of ['e2', 'e3']) this.endpoints.get(id)!.follow('e1', 1)
    for (const id of ENDPOINTS) this.network.every(10, id, () => this.replicate(id))
    for (const watcher of this.watchers) this.watch(watcher)
    for (const process of PROCESSES) this.network.every(40, process, () => this.write(process))
    this.network.run(500)
  }

  run (ms: number): void {
    this.network.run(ms)
  }

  /** The endpoint that is primary in the highest term. */
  get primary (): FakeEndpoint | undefined {
    const term = Math.max(...[...this.endpoints.values()].map(one => one.term))
    return [...this.endpoints.values()].find(one => one.role === 'primary' && one.term === term)
  }

  /** What each monitor takes for the primary. */
  get views (): readonly (string | undefined)[] {
    return this.watchers.map(({ monitor }) => monitor.group.primary?.endpoint)
  }

  /** Whether none of the process's monitors suspects or orders anything. */
  isCalm (process: string): boolean {
    return this.watchers.every(watcher => watcher.process !== process || watcher.monitor.isWatching)
  }

  cutBoth (a: string, b: string): void {
    this.network.cut(a, b)
    this.network.cut(b, a)
  }

  mendBoth (a: string, b: string): void {
    this.network.mend(a, b)
    this.network.mend(b, a)
  }

  tell (endpoint: string, event: FailoverEvent): void {
    for (const watcher of this.watchers) {
      if (watcher.endpoint === endpoint) this.hear(watcher, event)
    }
  }

  private watch (watcher: Watcher): void {
    const { process, endpoint } = watcher
    this.network.every(20, process, () => this.hear(watcher, { kind: 'tick' }))
    this.network.every(PROBE_MS, process, () => this.probe(watcher, endpoint))
  }

  private hear (watcher: Watcher, event: FailoverEvent): void {
    const step = watcher.monitor.step(event, this.network.now as Instant, this.network.chance())
    watcher.monitor = step.monitor
    for (const action of step.actions) this.act(watcher, action)
  }

  private act (watcher: Watcher, action: FailoverAction): void {
    if (action.kind === 'record') return
    if (action.kind === 'probe') return this.probe(watcher, action.endpoint)
    const { endpoint, term } = action
    const proposer = this.proposer(watcher)
    this.ask(watcher.process, endpoint, server => {
      const isAccepted = this.order(server, action, proposer)
      return { isAccepted, sample: server.sample(this.network.now) }
    }, answer => this.hear(watcher, eventOf(action, answer)),
    () => this.hear(watcher, { kind: 'failed', endpoint, term }), PACE.roundMs)
  }

  private proposer (watcher: Watcher): string {
    return `${watcher.process}/${watcher.endpoint}`
  }

  private order (server: FakeEndpoint, action: FailoverAction, proposer: string): boolean {
    switch (action.kind) {
      case 'seal': return server.seal(action.term, proposer)
      case 'follow': return server.follow(action.primary, action.term)
      case 'promote': return this.promote(server, action.term, proposer)
      default: return false
    }
  }

  private promote (server: FakeEndpoint, term: number, proposer: string): boolean {
    const isNew = server.role !== 'primary'
    if (!server.promote(term, proposer)) return false
    if (!isNew) return true
    if (this.promotions.some(other => other.term === term)) this.faults.push(`two primaries in term ${term}`)
    this.promotions.push({ endpoint: server.id, term, holds: new Set(server.log.map(entry => entry.write)) })
    for (const write of this.acknowledged) this.checkKept(write)
    return true
  }

  /** An acknowledged write is in the log of every primary of a later term, whichever of the two came first. */
  private checkKept (write: Acknowledged): void {
    for (const { endpoint, term, holds } of this.promotions) {
      if (term > write.term && !holds.has(write.write)) this.faults.push(`${endpoint} began term ${term} without write ${write.write}`)
    }
  }

  private probe (watcher: Watcher, endpoint: string): void {
    const began = this.network.now
    this.ask(watcher.process, endpoint, server => server.sample(began), sample => {
      this.hear(watcher, { kind: 'sampled', sample })
      if (endpoint === watcher.endpoint) this.share(watcher, sample)
    }, () => {
      this.hear(watcher, { kind: 'missed', endpoint: endpoint as EndpointId })
      if (endpoint !== watcher.endpoint || watcher.monitor.isReached(endpoint as EndpointId, this.network.now as Instant)) return
      this.share(watcher, watcher.monitor.group.sample(endpoint as EndpointId)!.with({ reachable: false }))
    }, TIMEOUT_MS)
  }

  private share (watcher: Watcher, sample: Sample): void {
    for (const other of this.watchers) {
      if (other === watcher) continue
      const learn = (): void => this.hear(other, { kind: 'learnt', sample: sample.with({ at: this.network.now as Instant }) })
      if (other.process === watcher.process) learn()
      else this.network.send(watcher.process, other.process, learn)
    }
  }

  /** A question to an endpoint and its answer, either of which may be lost; then the asker sees silence only. */
  private ask<T> (from: string, to: string, run: (server: FakeEndpoint) => T, then: (answer: T) => void, silent: () => void, ms: number): void {
    let isOver = false
    this.network.send(from, to, () => {
      const answer = run(this.endpoints.get(to)!)
      this.network.send(to, from, () => {
        if (isOver) return
        isOver = true
        then(answer)
      })
    })
    this.network.after(ms, from, () => {
      if (isOver) return
      isOver = true
      silent()
    })
  }

  private replicate (id: string): void {
    const follower = this.endpoints.get(id)!
    const { upstream } = follower
    if (upstream === undefined) return
    const [term, length, starts] = follower.copyRequest
    this.network.send(id, upstream, () => {
      const copy = this.endpoints.get(upstream)!.copyFor(term, length, starts)
      if (copy === undefined) return
      this.network.send(upstream, id, () => follower.take(term, copy))
    })
  }

  private write (process: string): void {
    const { monitor } = this.watchers.find(watcher => watcher.process === process)!
    const primary = monitor.group.primary?.endpoint
    if (primary === undefined) return
    const write = this.writes++
    this.ask(process, primary, server => server.write(write), token => {
      if (token !== undefined) this.confirm(process, primary, write, token)
    }, () => undefined, CONFIRM_MS)
  }

  private confirm (process: string, primary: string, write: number, token: Token): void {
    let isOver = false
    const end = this.network.now + CONFIRM_MS
    const askAgain = (endpoint: string): void => {
      if (isOver || this.network.now > end) return
      this.ask(process, endpoint, server => server.confirms(token), isConfirmed => {
        if (isOver) return
        if (!isConfirmed) return this.network.after(20, process, () => askAgain(endpoint))
        isOver = true
        this.acknowledge({ ...token, write })
      }, () => askAgain(endpoint), TIMEOUT_MS)
    }
    for (const endpoint of ENDPOINTS) {
      if (endpoint !== primary) askAgain(endpoint)
    }
  }

  private acknowledge (write: Acknowledged): void {
    this.acknowledged.push(write)
    this.checkKept(write)
  }
}

function eventOf (
  action: Exclude<FailoverAction, { kind: 'record' | 'probe' }>,
  { isAccepted, sample }: { readonly isAccepted: boolean, readonly sample: Sample }
): FailoverEvent {
  const { endpoint, term } = action
  if (!isAccepted) return { kind: 'refused', endpoint, term }
  switch (action.kind) {
    case 'seal': return { kind: 'sealed', term: term as Term, sample }
    case 'promote': return { kind: 'promoted', term: term as Term, sample }
    case 'follow': return { kind: 'sampled', sample }
  }
}
