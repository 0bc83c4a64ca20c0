/** The log of a fake endpoint, and the lists that it amounts to. */

interface Append {
  readonly key: string
  readonly value: string
}

interface Entry {
  readonly term: number
  readonly once: string | undefined
  readonly appends: readonly Append[]
}

interface Row {
  readonly key: string
  readonly values: readonly string[]
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

  /** The entry that an idempotency key stands in. */
  first (once: string): { readonly term: number, readonly position: number } | undefined {
    const at = this.entries.findIndex(entry => entry.once === once)
    return at < 0 ? undefined : { term: this.entries[at]!.term, position: at + 1 }
  }

  /** A row a key: its values up to the position, then those of an open transaction. */
  read (keys: readonly string[], position: number, open: readonly Append[] = []): readonly Row[] {
    const rows = new Map(keys.map(key => [key, [] as string[]]))
    for (let i = 0; i < position; i++) {
      for (const one of this.entries[i]!.appends) rows.get(one.key)?.push(one.value)
    }
    for (const one of open) rows.get(one.key)?.push(one.value)
    return keys.map(key => ({ key, values: rows.get(key)! }))
  }
}
