/** The id of a database group: a primary and its replicas. */

import type { Brand } from '../brand.ts'

/** Names a database group, unique in the whole configuration. */
export type GroupId = Brand<string, 'GroupId'>
