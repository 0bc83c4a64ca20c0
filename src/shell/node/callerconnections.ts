/** The callers' connections of this process, and their closing when it leaves. */

import type { Instant } from '../../core/id/instant.ts'
import type { CommandHandler } from '../mysql/commandhandler.ts'
import { DrainableHandler } from './drainablehandler.ts'

type DrainTimings = Parameters<typeof DrainableHandler.before>[0]['timings']

interface Options {
  readonly timings: DrainTimings
  readonly now: () => Instant
  readonly onCount: (open: number) => void
}

const POLL_INTERVAL_MS = 20

export class CallerConnections {
  private readonly handlers = new Set<DrainableHandler>()
  private leavingSince: Instant | undefined

  private constructor (private readonly options: Options) {}

  static create (options: Options): CallerConnections {
    return new CallerConnections(options)
  }

  /** The handler to use in place of the caller's own. `onClosed` is called when the caller is gone. */
  wrap (handler: CommandHandler, hangUp: () => void, onClosed: () => void): CommandHandler {
    const gate = DrainableHandler.before({
      handler,
      hangUp,
      timings: this.options.timings,
      now: this.options.now,
      leavingSince: () => this.leavingSince,
      onClosed: () => {
        this.handlers.delete(gate)
        this.options.onCount(this.handlers.size)
        onClosed()
      }
    })
    this.handlers.add(gate)
    this.options.onCount(this.handlers.size)
    return gate
  }

  /** Resolves when every connection is closed, or is over and waits for its caller to close it too. */
  async drain (): Promise<void> {
    this.leavingSince ??= this.options.now()
    for (;;) {
      for (const gate of this.handlers) gate.tick()
      if ([...this.handlers].every(gate => gate.isOver)) return
      await new Promise(resolve => { setTimeout(resolve, POLL_INTERVAL_MS) })
    }
  }
}
