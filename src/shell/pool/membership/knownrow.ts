/** A row that is there. */

import type { Row } from './row.ts'

export type KnownRow = Row & { readonly value: string }
