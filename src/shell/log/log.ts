/** The structured log: one JSON line an event, by number. */

import { setTimeout as pause } from 'node:timers/promises'
import { destination, pino, type Logger } from 'pino'
import { events } from './events.ts'

type EventName = keyof typeof events

const STANDARD_OUTPUT = 1
/** Bytes that are gathered to one write, since each write costs a call to the system, */
const MIN_WRITE_BYTES = 4096
/** how long they wait at most, in milliseconds, */
const FLUSH_INTERVAL_MS = 500
/** and bytes that may wait for a reader that stalls; what comes then is dropped. */
const MAX_BUFFERED_BYTES = 1_048_576

/** Writes numbered events. Fields never hold a secret or a statement's values. */
export class Log {
  private constructor (private readonly logger: Logger, private readonly flushAll = async () => {}) {}

  static create (host: string): Log {
    return new Log(pino({ base: { host }, timestamp: pino.stdTimeFunctions.isoTime }))
  }

  /** Never blocks: lines are gathered, and dropped while the reader stalls. */
  static buffered (host: string, fd = STANDARD_OUTPUT): Log {
    const out = destination({ dest: fd, sync: false, minLength: MIN_WRITE_BYTES, maxLength: MAX_BUFFERED_BYTES, periodicFlush: FLUSH_INTERVAL_MS })
    return new Log(pino({ base: { host }, timestamp: pino.stdTimeFunctions.isoTime }, out), async () => await new Promise(resolve => out.flush(() => resolve())))
  }

  /** Each line goes to the function, as it's written. */
  static to (write: (line: string) => void): Log {
    return new Log(pino({}, { write }))
  }

  static readonly silent = new Log(pino({ enabled: false }))

  write (name: EventName, fields: Readonly<Record<string, string | number | boolean>> = {}): void {
    const { id, level, message } = events[name]
    this.logger[level]({ event: id, ...fields }, message)
  }

  /** Writes out what was gathered, at the end of the process; doesn't wait for a reader that stalls for longer than the time. */
  async flush (mostMs: number): Promise<void> {
    await Promise.race([this.flushAll(), pause(mostMs)])
  }
}
