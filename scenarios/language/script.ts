/** A parsed script: the sizes, the faults in order of time, the load and what is expected. */

/** Names nodes; see scenarios/README.md. Looked up when the fault happens. */
type Place = string

type Fault =
  | { readonly kind: 'cut', readonly some: Place, readonly others: Place }
  | { readonly kind: 'silence', readonly some: Place, readonly others: Place }
  | { readonly kind: 'heal' }
  | { readonly kind: 'kill', readonly place: Place }
  | { readonly kind: 'restart', readonly place: Place }
  | { readonly kind: 'freeze', readonly place: Place, readonly ms: number }
  | { readonly kind: 'lag', readonly place: Place, readonly ms: number }
  | { readonly kind: 'store', readonly mode: 'up' | 'down' | 'slow' | 'losing answers', readonly ms: number }
  | { readonly kind: 'patch', readonly operators: number }

interface Load {
  readonly from: number
  readonly to: number
  /** Requests a second. */
  readonly writes: number
  /** Writes with an idempotency key, which the caller tries again when it isn't told "done". */
  readonly once: number
  readonly transactions: number
  readonly reads: number
  readonly strict: number
  readonly aged: number
  readonly ageMs: number
  readonly sessions: number
  /** Whether a session's requests go to any host; else it stays on one while that is up. */
  readonly isRoaming: boolean
}

interface Expectation {
  /** `breaches` or the name of a figure of the report. */
  readonly figure: string
  readonly operator: '<' | '>' | '='
  readonly value: number
  /** As the script says it. */
  readonly text: string
}

export interface Script {
  readonly title: string
  readonly seed: number
  readonly hosts: number
  readonly groups: readonly string[]
  readonly runMs: number
  readonly faults: readonly { readonly at: number, readonly fault: Fault }[]
  readonly loads: readonly Load[]
  readonly expectations: readonly Expectation[]
}
