/** The name of one of the tables that every host knows. */

import type { tableNames } from './tablenames.ts'

export type TableName = typeof tableNames[number]
