/** The versioned configuration, which operators change while the system runs. */

import type { ServiceLevel } from '../burn/servicelevel.ts'
import type { CallerId } from '../id/caller.ts'
import type { DataCentreId } from '../id/datacentre.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { GroupId } from '../id/group.ts'
import type { PoolId } from '../id/pool.ts'
import type { ConfigVersion } from '../id/version.ts'
import type { Freshness } from '../routing/freshness.ts'

interface Endpoint {
  readonly id: EndpointId
  /** `ip:port` of the database server. */
  readonly address: string
  readonly dataCentre: DataCentreId
  /** Whether the endpoint is being removed: a primary is handed over, a replica gets no new work. */
  readonly leaving: boolean
}

interface DatabaseGroup {
  readonly id: GroupId
  /** The database name that callers and endpoints use. */
  readonly database: string
  readonly endpoints: readonly Endpoint[]
  readonly slotsPerEndpoint: number
  readonly connectionsPerSlot: number
}

interface ReadKind {
  readonly name: string
  readonly freshness: Freshness
}

interface Caller {
  readonly id: CallerId
  /** SHA-1 of the SHA-1 of the password, in hexadecimal, as MySQL stores it. */
  readonly passwordHash: string
}

interface Pool {
  readonly id: PoolId
  readonly groups: readonly GroupId[]
  readonly callers: readonly Caller[]
  /** The kinds of read that callers may name. */
  readonly kinds: readonly ReadKind[]
  /** The freshness of reads that name no kind. */
  readonly freshness: Freshness
}

/** An accepted configuration. Immutable; the next one has a higher version. */
export interface Config {
  readonly version: ConfigVersion
  readonly groups: readonly DatabaseGroup[]
  readonly pools: readonly Pool[]
  readonly serviceLevels: readonly ServiceLevel[]
}
