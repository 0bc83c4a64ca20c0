/** COM_RESET_CONNECTION on an endpoint's connection. */

import { RawPacket } from './rawpacket.ts'
import type { Wire } from './wire.ts'

type IncomingPacket = NonNullable<Parameters<Parameters<Wire['addCommand']>[0]['execute']>[0]>

const COM_RESET_CONNECTION = 31

/** Rolls back and clears the session state that a borrower left on the connection. For mysql2's command queue. */
export class ResetCommand {
  private hasStarted = false

  private constructor (private readonly onReset: (isReset: boolean) => void) {}

  static of (onReset: (isReset: boolean) => void): ResetCommand {
    return new ResetCommand(onReset)
  }

  execute (packet: IncomingPacket | undefined, wire: Wire): boolean {
    if (packet === undefined || !this.hasStarted) {
      this.hasStarted = true
      wire.sequenceId = 0
      wire.writePacket(RawPacket.command(COM_RESET_CONNECTION, ''))
      return false
    }
    this.onReset(!packet.isError())
    return true
  }

  /** Called by mysql2 if the connection is lost before the reply. */
  onResult (): void {
    this.onReset(false)
  }
}
