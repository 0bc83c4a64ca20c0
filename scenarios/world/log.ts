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
    const appends = [...this.entries.slice(0, position).flatMap(entry => entry.appends), ...open]
    return keys.map(key => ({ key, values: appends.filter(one => one.key === key).map(one => one.value) }))
  }
}
