/** The options of `Slots`: the components and callbacks that it needs. */

import type { Frame } from '../../gen/peer_pb.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { parseSettings } from '../../core/settings/settings.ts'
import type { Groups } from '../caller/groups.ts'
import type { Log } from '../log/log.ts'
import type { Metrics } from '../metrics/metrics.ts'
import type { TlsKeys } from '../peer/tlskeys.ts'
import type { TableService } from '../platform/tableservice.ts'

type Settings = ReturnType<ReturnType<typeof parseSettings>['_unsafeUnwrap']>

export interface SlotsOptions {
  readonly settings: Settings
  readonly keys: TlsKeys | undefined
  readonly incarnation: string
  readonly groups: Groups
  readonly table: TableService
  readonly log: Log
  readonly metrics: Metrics
  readonly now: () => Instant
  readonly chance: () => number
  /** Sends a frame to every linked peer. */
  readonly broadcast: (body: Frame['body']) => void
  /** Called when a link to the host is open. */
  readonly onLinked: (host: HostId) => void
  /** Called with each frame about the configuration that a peer sends. */
  readonly onConfig: (from: HostId, body: Frame['body']) => void
}
