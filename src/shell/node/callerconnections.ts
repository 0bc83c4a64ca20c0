/** The open caller connections of this process, which it closes when it drains. */

import type { Instant } from '../../core/id/instant.ts'
import type { CommandHandler } from '../mysql/commandhandler.ts'
import { DrainableHandler } from './drainablehandler.ts'

type HandlerOptions = Parameters<typeof DrainableHandler.before>[0]
type DrainTimings = HandlerOptions['timings']
type Connection = HandlerOptions['connection']

interface Options {
  readonly timings: DrainTimings
  readonly now: () => Instant
  /** Called with the number of open connections whenever it changes. */
  readonly onCount: (open: number) => void
}

const POLL_INTERVAL_MS = 20

/** Wraps the handler of each caller's connection and closes the connections when the process drains. */
export class CallerConnections {
  private readonly handlers = new Set<DrainableHandler>()
  private leavingSince: Instant | undefined

  private constructor (private readonly options: Options) {}

  static create (options: Options): CallerConnections {
    return new CallerConnections(options)
  }

  /** Returns the handler to use in place of the caller's own. Calls `onClosed` when the connection has closed. */
  wrap (handler: CommandHandler, connection: Connection, onClosed: () => void): CommandHandler {
    const wrapped = DrainableHandler.before({
      handler,
      connection,
      timings: this.options.timings,
      now: this.options.now,
      leavingSince: () => this.leavingSince,
      onClosed: () => {
        this.handlers.delete(wrapped)
        this.options.onCount(this.handlers.size)
        onClosed()
      }
    })
    this.handlers.add(wrapped)
    this.options.onCount(this.handlers.size)
    return wrapped
  }

  /** Closes the connections as the timings allow. Resolves when each is closed and its last answer is sent, even if its caller hasn't closed its side yet. */
  async drain (): Promise<void> {
    this.leavingSince ??= this.options.now()
    for (;;) {
      for (const handler of this.handlers) handler.tick()
      if ([...this.handlers].every(handler => handler.isOver)) return
      await new Promise(resolve => { setTimeout(resolve, POLL_INTERVAL_MS) })
    }
  }
}
