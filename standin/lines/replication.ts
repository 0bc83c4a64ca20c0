/** Replication between the endpoints of a stand-in group: a commit is acknowledged once one replica has received it, and a promotion keeps the successor's log alone. */

import type { LineEndpoint } from './endpoint.ts'

interface Promotion {
  readonly id: string
  /** The writes in the log that it leads with. */
  readonly kept: readonly string[]
}

/** Interval at which replicas receive what the primary has. */
const RECEIVE_MS = 5

export class Replication {
  readonly promotions: Promotion[] = []
  /** Replicas that receive nothing, though none of them is stopped. */
  readonly deaf = new Set<string>()
  private readonly members = new Set<LineEndpoint>()
  private commits: Array<{ readonly endpoint: LineEndpoint, readonly position: number, readonly resolve: (isReceived: boolean) => void }> = []
  private readonly timer = setInterval(() => this.receive(), RECEIVE_MS)

  private constructor () {}

  static start (endpoints: readonly LineEndpoint[]): Replication {
    const replication = new Replication()
    for (const endpoint of endpoints) replication.join(endpoint)
    return replication
  }

  get primary (): LineEndpoint | undefined {
    return [...this.members].find(({ isPrimary }) => isPrimary)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** From now on the endpoint receives what it lacks. */
  join (endpoint: LineEndpoint): void {
    endpoint.replication = this
    endpoint.term = this.primary?.term ?? endpoint.term
    this.members.add(endpoint)
  }

  /** Resolves once a replica has received the endpoint's log up to now; with false if the endpoint was replaced before. */
  async isReceived (endpoint: LineEndpoint): Promise<boolean> {
    return await new Promise(resolve => this.commits.push({ endpoint, position: endpoint.position, resolve }))
  }

  /** After the time the endpoint leads with what it has received by then; `onLead` is called at that moment. */
  promote (id: string, afterMs: number, onLead: () => void): void {
    setTimeout(() => this.lead(id, onLead), afterMs)
  }

  private lead (id: string, onLead: () => void): void {
    const successor = [...this.members].find(endpoint => endpoint.id === id)
    if (successor === undefined || successor.isPrimary) return
    this.promotions.push({ id, kept: [...successor.kept] })
    for (const endpoint of this.members) endpoint.follow(successor, endpoint === successor)
    for (const { resolve } of this.commits) resolve(false)
    this.commits = []
    onLead()
  }

  private receive (): void {
    const { primary } = this
    if (primary === undefined) return
    const receiving = [...this.members].filter(one => one !== primary && one.pausedBy === 0 && !this.deaf.has(one.id))
    for (const replica of receiving) replica.receive(primary)
    const isDone = (position: number) => [...this.members].some(one => one !== primary && one.position >= position)
    for (const { resolve } of this.commits.filter(commit => isDone(commit.position))) resolve(true)
    this.commits = this.commits.filter(commit => !isDone(commit.position))
  }
}
