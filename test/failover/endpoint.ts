/** A fake endpoint for tests on a virtual clock: the assumed verbs, a log and replication, each method one atomic step. */

import { Sample } from '../../src/core/group/sample.ts'
import { TermHistory } from '../../src/core/termhistory.ts'
import type { EndpointId } from '../../src/core/id/endpoint.ts'
import type { Instant } from '../../src/core/id/instant.ts'
import type { Position } from '../../src/core/id/position.ts'
import type { Term } from '../../src/core/id/term.ts'

interface Entry {
  readonly term: number
  readonly write: number
}

interface Start {
  readonly term: number
  readonly position: number
}

interface Copy {
  readonly from: number
  readonly fork: number
  readonly starts: readonly Start[]
  readonly entries: readonly Entry[]
}

export class FakeEndpoint {
  role: 'primary' | 'replica' | 'sealed' = 'replica'
  term = 0
  log: readonly Entry[] = []
  upstream: string | undefined
  private alignedTerm = 0
  private proposer = ''
  private starts: readonly Start[] = []

  constructor (readonly id: string) {}

  sample (at: number): Sample {
    return Sample.of({
      endpoint: this.id as EndpointId,
      role: this.role,
      term: this.term as Term,
      lastTerm: (this.log.at(-1)?.term ?? 0) as Term,
      received: this.log.length as Position,
      applied: this.log.length as Position,
      history: TermHistory.of(this.starts as TermHistory['starts']),
      at: at as Instant,
      queued: 0,
      reachable: true
    })
  }

  holds (write: number): boolean {
    return this.log.some(entry => entry.write === write)
  }

  /** Each verb says whether it was accepted. */
  seal (term: number, proposer: string): boolean {
    if (term === this.term && proposer === this.proposer) return true
    if (term <= this.term) return false
    Object.assign(this, { term, proposer, role: 'sealed', upstream: undefined })
    return true
  }

  promote (term: number, proposer: string): boolean {
    if (term !== this.term || proposer !== this.proposer) return false
    if (this.role === 'primary') return true
    const position = this.log.length
    this.role = 'primary'
    this.alignedTerm = term
    this.starts = [...this.starts.filter(start => start.position <= position), { term, position }]
    return true
  }

  follow (primary: string, term: number): boolean {
    if (term < this.term || (term === this.term && this.role === 'primary')) return false
    if (term > this.term) this.proposer = ''
    Object.assign(this, { term, role: 'replica', upstream: primary })
    return true
  }

  /** The token of the write; undefined when it's refused. */
  write (write: number): Start | undefined {
    if (this.role !== 'primary') return undefined
    this.log = [...this.log, { term: this.term, write }]
    return { term: this.term, position: this.log.length }
  }

  confirms ({ term, position }: Start): boolean {
    return this.role === 'replica' && this.term === term && this.alignedTerm === term && this.log.length >= position
  }

  /** What a follower of the term lacks; undefined when this log isn't the one of that term's primary. */
  copyFor (term: number, length: number, starts: readonly Start[]): Copy | undefined {
    if (this.role === 'replica' || this.alignedTerm !== term) return undefined
    const lacks = (some: readonly Start[], start: Start): boolean =>
      !some.some(other => other.term === start.term && other.position === start.position)
    const forks = [...starts.filter(start => lacks(this.starts, start)), ...this.starts.filter(start => lacks(starts, start))]
    const fork = Math.min(length, this.log.length, ...forks.map(start => start.position))
    return { from: length, fork, starts: this.starts, entries: this.log.slice(fork) }
  }

  get copyRequest (): readonly [number, number, readonly Start[]] {
    return [this.term, this.log.length, this.starts]
  }

  take (term: number, copy: Copy): void {
    if (this.role !== 'replica' || this.term !== term || copy.from !== this.log.length) return
    this.log = [...this.log.slice(0, copy.fork), ...copy.entries]
    this.starts = copy.starts
    this.alignedTerm = term
  }
}
