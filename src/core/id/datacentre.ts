/** The id of a data centre. */

import type { Brand } from '../brand.ts'

/** Names a data centre, the zone a host or an endpoint stands in. */
export type DataCentreId = Brand<string, 'DataCentreId'>
