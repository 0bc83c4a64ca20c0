/** Keeps what callers saw, as the checker's history, and the trace of the run. */

import type { Call } from '../../test/checker/call.ts'
import type { History } from '../../test/checker/history.ts'
import type { Clock } from './clock.ts'

type Body<T> = T extends unknown ? Omit<T, 'id' | 'to' | 'outcome'> : never

export class Recorder {
  readonly calls: Call[] = []
  readonly promotions: Array<History['promotions'][number]> = []
  readonly versions: Array<History['versions'][number]> = []
  readonly accepted: Array<{ readonly version: number, readonly at: number }> = []
  /** Where the reads went, by the product's own metrics. */
  readonly served: string[] = []
  private readonly pending = new Map<number, Body<Call>>()
  private readonly lines: string[] = []
  private nextId = 1

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): Recorder {
    return new Recorder(clock)
  }

  get history (): History {
    return { calls: this.calls, promotions: this.promotions, versions: this.versions }
  }

  get trace (): string {
    return this.lines.join('\n') + '\n'
  }

  note (text: string): void {
    this.lines.push(`${this.clock.now.toFixed(3)} ${text}`)
  }

  begin (call: Body<Call>): number {
    const id = this.nextId++
    this.pending.set(id, call)
    return id
  }

  end (id: number, answer: Pick<Call, 'outcome'> & { readonly [K in 'rows' | 'term' | 'position']?: unknown }): void {
    const call = { ...this.pending.get(id), id, to: this.clock.now, ...answer } as Call
    this.pending.delete(id)
    this.calls.push(call)
    this.note(`call ${id} ${call.session} ${call.host} ${call.kind} ${textOf(call)} ${call.outcome}`)
  }

  /** Calls that never got an answer are in doubt until the end. */
  close (): void {
    for (const id of [...this.pending.keys()]) this.end(id, { outcome: 'unknown', rows: [] })
  }
}

function textOf (call: Call): string {
  switch (call.kind) {
    case 'write': return `${call.key} ${call.value} ${call.term ?? '-'}:${call.position ?? '-'}`
    case 'commit': return `${call.transaction} ${call.term ?? '-'}:${call.position ?? '-'}`
    case 'read': return call.rows.map(row => `${row.key}=${row.values.length}`).join(' ')
  }
}
