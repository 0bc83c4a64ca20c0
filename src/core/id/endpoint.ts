/** The id of an endpoint: one database server of a group. */

import type { Brand } from '../brand.ts'

/** Names one database server, unique in the whole configuration. */
export type EndpointId = Brand<string, 'EndpointId'>
