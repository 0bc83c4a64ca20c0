/** Asks an endpoint's verbs; mirrors src/shell/endpoint/control.ts. */

import type { Sample } from '../../src/core/group/sample.ts'
import type { Connection } from './connection.ts'
import type { Endpoint } from './endpoint.ts'
import { LinkError } from './linkerror.ts'
import type { Process } from './process.ts'

/** Opens its connection when first used, and a new one after the last was lost or went silent. */
export class Control {
  private connection: Connection | undefined

  private constructor (private readonly process: Process, readonly endpoint: Endpoint) {}

  static create (process: Process, endpoint: Endpoint): Control {
    return new Control(process, endpoint)
  }

  async ask (ms: number, verb: (endpoint: Endpoint) => Promise<Sample> | Sample): Promise<Sample> {
    const { process, endpoint } = this
    const at = process.now()
    if (this.connection === undefined || this.connection.isBroken) {
      this.connection = process.network.connect(process.node, endpoint.node)
    }
    const { connection } = this
    try {
      const sample = await process.ask(connection, ms, () => verb(endpoint))
      return sample.with({ at })
    } catch (err) {
      if (err instanceof LinkError) connection.break()
      throw err
    }
  }

  close (): void {
    this.connection?.break()
  }
}
