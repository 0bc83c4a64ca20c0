/** What hosts tell a process that starts while the store is away. */

interface Row {
  readonly key: string
  readonly value: string
  /** The version that the store gave to the row's last change. */
  readonly version: number
}

/** Rows as the store gave them, so that they are read the same way. */
interface Knowledge {
  readonly config: readonly Row[]
  readonly endpoints: readonly Row[]
}

export interface Peers {
  /** What each peer that answers knows; resolves always, with nothing when none answers. */
  ask (signal: AbortSignal): Promise<readonly Knowledge[]>
}
