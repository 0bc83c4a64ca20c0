/** The structured log: one JSON line per numbered event. */

import { setTimeout as pause } from 'node:timers/promises'
import { destination, pino, type Logger } from 'pino'
import { events } from './events.ts'

type EventName = keyof typeof events

const STANDARD_OUTPUT = 1
/** Lines are collected up to this size, to save system calls. */
const MIN_WRITE_BYTES = 4096
/** Collected lines are written at least this often. */
const FLUSH_INTERVAL_MS = 500
/** Further lines are dropped while this much waits for a stalled reader. */
const MAX_BUFFERED_BYTES = 1_048_576

/** Writes numbered events. Fields must not contain secrets or values from statements. */
export class Log {
  private constructor (private readonly logger: Logger, private readonly flushAll = async () => {}) {}

  /** Writes each line to standard output at once. */
  static create (host: string): Log {
    return new Log(pino({ base: { host }, timestamp: pino.stdTimeFunctions.isoTime }))
  }

  /** Never blocks: collects lines into larger writes, and drops them when the buffer is full because the reader stalls. */
  static buffered (host: string, fd = STANDARD_OUTPUT): Log {
    const out = destination({ dest: fd, sync: false, minLength: MIN_WRITE_BYTES, maxLength: MAX_BUFFERED_BYTES, periodicFlush: FLUSH_INTERVAL_MS })
    return new Log(pino({ base: { host }, timestamp: pino.stdTimeFunctions.isoTime }, out), async () => await new Promise(resolve => out.flush(() => resolve())))
  }

  /** Passes each line to the function. */
  static to (write: (line: string) => void): Log {
    return new Log(pino({}, { write }))
  }

  static readonly silent = new Log(pino({ enabled: false }))

  write (name: EventName, fields: Readonly<Record<string, string | number | boolean>> = {}): void {
    const { id, level, message } = events[name]
    this.logger[level]({ event: id, ...fields }, message)
  }

  /** Writes the collected lines at the end of the process; waits at most `timeoutMs` for a stalled reader. */
  async flush (timeoutMs: number): Promise<void> {
    await Promise.race([this.flushAll(), pause(timeoutMs)])
  }
}
