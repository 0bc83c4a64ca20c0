/** The structured log: one JSON line an event, by number. */

import { pino, type Logger } from 'pino'
import { events } from './events.ts'

type Name = keyof typeof events

/** Writes numbered events. Fields never hold a secret or a statement's values. */
export class Log {
  private constructor (private readonly logger: Logger) {}

  static create (host: string): Log {
    return new Log(pino({ base: { host }, timestamp: pino.stdTimeFunctions.isoTime }))
  }

  static readonly silent = new Log(pino({ enabled: false }))

  write (name: Name, fields: Readonly<Record<string, string | number | boolean>> = {}): void {
    const { id, level, message } = events[name]
    this.logger[level]({ event: id, ...fields }, message)
  }
}
