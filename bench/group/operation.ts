/** What one caller of the model asks for. */

import type { Kind } from './kind.ts'

export interface Operation {
  readonly kind: Kind
  readonly askedAt: number
  readonly isTransaction: boolean
  readonly isWrite: boolean
  /** Statements, the commit of a transaction that writes among them. */
  readonly statements: number
  tries: number
  isOver: boolean
  wasLent: boolean
}
