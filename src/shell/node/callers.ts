/** The callers' connections of this process, and their closing when it leaves. */

import type { Instant } from '../../core/id/instant.ts'
import type { Handler } from '../mysql/handler.ts'
import { Gate } from './gate.ts'

type Pace = Parameters<typeof Gate.before>[0]['pace']

interface Options {
  readonly pace: Pace
  readonly now: () => Instant
  readonly onCount: (open: number) => void
}

const TICK_MS = 20

export class Callers {
  private readonly gates = new Set<Gate>()
  private leavingSince: Instant | undefined

  private constructor (private readonly options: Options) {}

  static create (options: Options): Callers {
    return new Callers(options)
  }

  /** The handler to use in place of the caller's own. `onClosed` is called when the caller is gone. */
  guard (handler: Handler, hangUp: () => void, onClosed: () => void): Handler {
    const gate = Gate.before({
      handler,
      hangUp,
      pace: this.options.pace,
      now: this.options.now,
      leavingSince: () => this.leavingSince,
      onClosed: () => {
        this.gates.delete(gate)
        this.options.onCount(this.gates.size)
        onClosed()
      }
    })
    this.gates.add(gate)
    this.options.onCount(this.gates.size)
    return gate
  }

  /** Resolves when every connection is closed, or is over and waits for its caller to close it too. */
  async leave (): Promise<void> {
    this.leavingSince ??= this.options.now()
    for (;;) {
      for (const gate of this.gates) gate.tick()
      if ([...this.gates].every(gate => gate.isOver)) return
      await new Promise(resolve => { setTimeout(resolve, TICK_MS) })
    }
  }
}
