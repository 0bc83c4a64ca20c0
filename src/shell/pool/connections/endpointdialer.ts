/** Opens the connections of this host to one endpoint. */

import { err, type Result } from 'neverthrow'
import type { Endpoint } from '../../../core/directory/endpoint.ts'
import type { Instant } from '../../../core/id/instant.ts'
import type { TeamId } from '../../../core/id/team.ts'
import { clock } from '../clock.ts'
import type { Dialer } from './dialer.ts'
import type { DialFault } from './dialfault.ts'
import type { EndpointLink } from './link.ts'

interface Options {
  readonly endpoint: Endpoint
  readonly dialer: Dialer
  /** Called with the outcome of each try, and when it began. */
  readonly onDialEnded: (outcome: 'opened' | DialFault, sentAt: Instant) => void
  readonly onOpened: (link: EndpointLink, team: TeamId | undefined) => void
  readonly onEnded: (link: EndpointLink) => void
}

/** Longest time for opening a connection, including the handshake and the wait in the endpoint's queue. */
const DIAL_TIMEOUT_MS = 1000

export class EndpointDialer {
  private isClosed = false

  private constructor (private readonly options: Options) {}

  static create (options: Options): EndpointDialer {
    return new EndpointDialer(options)
  }

  /** `team`: the team that the connection serves; undefined for a connection that serves anyone. */
  async dial (team: TeamId | undefined): Promise<Result<EndpointLink, DialFault>> {
    const { dialer, endpoint, onDialEnded, onOpened, onEnded } = this.options
    const sentAt = clock.now()
    const dialled = await dialer.dial(endpoint, team, DIAL_TIMEOUT_MS)
    onDialEnded(dialled.isOk() ? 'opened' : dialled.error, sentAt)
    if (dialled.isErr()) return dialled
    const link = dialled.value
    if (this.isClosed) {
      link.close()
      return err('unreachable')
    }
    onOpened(link, team)
    link.onEnd(() => onEnded(link))
    return dialled
  }

  /** From now on, closes connections as soon as they are opened. */
  close (): void {
    this.isClosed = true
  }
}
