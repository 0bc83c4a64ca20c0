/** The id of an audit record. It names the host and the time of the request, so that its batch is found with few reads. */

import type { HostId } from '../id/host.ts'

const PATTERN = /^(.+)\.([0-9a-f]{12})\.([0-9a-z]{1,9})\.([0-9a-z]{1,9})$/
const RADIX = 36

/** Written `host.incarnation.time.count`. Unique, since a process numbers its requests and its incarnation is random. */
export class AuditId {
  private constructor (
    readonly host: HostId,
    /** Twelve hexadecimal digits that identify one run of the process. */
    readonly incarnation: string,
    /** When the request arrived, in milliseconds since 1970 on the host's clock. */
    readonly at: number,
    /** Numbers the requests of the incarnation from 1. */
    readonly count: number
  ) {}

  static of (host: HostId, incarnation: string, at: number, count: number): AuditId {
    return new AuditId(host, incarnation, at, count)
  }

  /** Returns undefined when the text isn't an id. */
  static parse (text: string): AuditId | undefined {
    const match = PATTERN.exec(text)
    if (match === null) return undefined
    const [, host, incarnation, at, count] = match
    return new AuditId(host as HostId, incarnation!, parseInt(at!, RADIX), parseInt(count!, RADIX))
  }

  toString (): string {
    return `${this.host}.${this.incarnation}.${this.at.toString(RADIX)}.${this.count.toString(RADIX)}`
  }
}
