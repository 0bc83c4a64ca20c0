/** The log of a fake endpoint, and the data that it amounts to. */

import type { Change } from './change.ts'

interface Entry {
  readonly term: number
  readonly changes: readonly Change[]
}

interface Row {
  readonly key: string
  readonly values: readonly string[]
}

interface Claim {
  readonly fingerprint: string
  readonly affected: number
  readonly insertId: number
}

export class Log {
  private readonly entries: Entry[] = []

  private constructor () {}

  static empty (): Log {
    return new Log()
  }

  get length (): number {
    return this.entries.length
  }

  get lastTerm (): number {
    return this.entries.at(-1)?.term ?? 0
  }

  /** The position of the new entry. */
  push (entry: Entry): number {
    return this.entries.push(entry)
  }

  after (position: number): readonly Entry[] {
    return this.entries.slice(position)
  }

  cut (position: number): void {
    this.entries.splice(position)
  }

  /** The lists of the keys up to the position and with an open transaction, in the order asked. */
  read (keys: readonly string[], position: number, open: readonly Change[]): readonly Row[] {
    const lists = new Map(keys.map(key => [key, [] as string[]]))
    this.scan(position, open, change => {
      if (change.kind === 'append') lists.get(change.key)?.push(change.value)
    })
    return keys.map(key => ({ key, values: lists.get(key)! }))
  }

  claim (id: string, position: number, open: readonly Change[]): Claim | undefined {
    let claim: Claim | undefined
    this.scan(position, open, change => {
      if (change.kind === 'claim' && change.id === id) claim = { fingerprint: change.fingerprint, affected: 0, insertId: 0 }
      if (change.kind === 'record' && change.id === id) claim = { ...claim!, affected: change.affected, insertId: change.insertId }
    })
    return claim
  }

  private scan (position: number, open: readonly Change[], take: (change: Change) => void): void {
    for (let i = 0; i < position; i++) for (const change of this.entries[i]!.changes) take(change)
    for (const change of open) take(change)
  }
}
