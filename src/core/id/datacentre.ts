/** The id of a data centre. */

import type { Brand } from '../brand.ts'

/** Names a data centre, the zone of a host or an endpoint. */
export type DataCentreId = Brand<string, 'DataCentreId'>
