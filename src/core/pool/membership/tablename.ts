/** Name of a table that every host replicates. */

import type { tableNames } from './tablenames.ts'

export type TableName = typeof tableNames[number]
