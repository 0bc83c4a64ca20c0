/** One transaction in the log of a stand-in endpoint. */

export interface Entry {
  readonly term: number
  readonly position: number
  readonly statements: readonly string[]
}
