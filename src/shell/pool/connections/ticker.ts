/** An interval timer that can be stopped and started. */

export class Ticker {
  private timer: NodeJS.Timeout | undefined

  private constructor (private readonly ms: number, private readonly act: () => void) {}

  static create (ms: number, act: () => void): Ticker {
    return new Ticker(ms, act)
  }

  /** Starts the timer unless it's running. */
  run (): void {
    this.timer ??= setInterval(this.act, this.ms)
  }

  stop (): void {
    clearInterval(this.timer)
    this.timer = undefined
  }
}
