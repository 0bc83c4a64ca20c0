/** Looks up in a history what became of each write. */

import type { Call } from './call.ts'
import type { History } from './history.ts'

type Write = Extract<Call, { kind: 'write' }>
type Read = Extract<Call, { kind: 'read' }>
type Commit = Extract<Call, { kind: 'commit' }>

/** An indexed history. A write of a transaction has the outcome, the end and the token of its COMMIT. */
export class Ledger {
  readonly writes: readonly Write[]
  /** Reads that were answered, outside and inside transactions. */
  readonly reads: readonly Read[]
  private readonly commits: ReadonlyMap<string, Commit>
  private readonly byKey = new Map<string, Write[]>()
  private readonly byValue = new Map<string, Write[]>()

  private constructor (readonly history: History) {
    const { calls } = history
    this.writes = calls.filter(call => call.kind === 'write')
    this.reads = calls.filter(call => call.kind === 'read' && call.outcome === 'done') as readonly Read[]
    this.commits = new Map(calls.filter(call => call.kind === 'commit').map(call => [call.transaction, call]))
    for (const write of this.writes) {
      if (this.isAcknowledged(write)) put(this.byKey, nameOf(write.group, write.key), write)
      put(this.byValue, write.value, write)
    }
  }

  static of (history: History): Ledger {
    return new Ledger(history)
  }

  /** The call that settles the write: its COMMIT, or itself; undefined when its transaction was never ended. */
  settling (write: Write): Write | Commit | undefined {
    return write.transaction === undefined ? write : this.commits.get(write.transaction)
  }

  isAcknowledged (write: Write): boolean {
    return write.outcome === 'done' && this.settling(write)?.outcome === 'done'
  }

  /** Whether the caller has proof that this try had no effect. */
  isRefused (write: Write): boolean {
    const isOut = write.outcome === 'notRun' || write.outcome === 'failed'
    const settling = this.settling(write)
    return isOut || settling === undefined || settling.outcome === 'notRun' || settling.outcome === 'failed'
  }

  /** The writes that were acknowledged to a key of a group. */
  acknowledged (group: string, key: string): readonly Write[] {
    return this.byKey.get(nameOf(group, key)) ?? []
  }

  /** All tries of a value. */
  tries (value: string): readonly Write[] {
    return this.byValue.get(value) ?? []
  }

  /** The calls that tell of a write. */
  callsOf (write: Write): readonly Call[] {
    const settling = this.settling(write)
    return settling === undefined || settling === write ? [write] : [write, settling]
  }
}

function nameOf (group: string, key: string): string {
  return `${group}/${key}`
}

function put<T> (map: Map<string, T[]>, key: string, value: T): void {
  const list = map.get(key)
  if (list === undefined) map.set(key, [value])
  else list.push(value)
}
