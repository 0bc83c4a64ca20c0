/** What a proxy of a run answers a caller. */

import type { Outcome } from '../../src/core/outcome.ts'
import { reasons } from '../../src/core/reason.ts'
import type { ReasonName } from '../../src/core/reasonname.ts'
import type { Token } from '../../src/core/token.ts'

interface Row {
  readonly key: string
  readonly values: readonly string[]
}

interface Fields {
  readonly outcome: Outcome
  readonly reason?: ReasonName
  readonly rows?: readonly Row[]
  readonly token?: Token
  readonly place?: 'primary' | 'replica'
}

/** One answer. Immutable. */
export class Reply {
  private constructor (private readonly fields: Fields) {}

  static of (fields: Fields): Reply {
    return new Reply(fields)
  }

  /** The outcome of a refusal is what its reason proves. */
  static refuse (reason: ReasonName): Reply {
    return new Reply({ outcome: reasons[reason].provesNotRun ? 'notRun' : 'unknown', reason })
  }

  get outcome (): Outcome {
    return this.fields.outcome
  }

  get reason (): ReasonName | undefined {
    return this.fields.reason
  }

  get rows (): readonly Row[] {
    return this.fields.rows ?? []
  }

  get token (): Token | undefined {
    return this.fields.token
  }

  get place (): 'primary' | 'replica' | undefined {
    return this.fields.place
  }

  at (place: 'primary' | 'replica'): Reply {
    return new Reply({ ...this.fields, place })
  }
}
