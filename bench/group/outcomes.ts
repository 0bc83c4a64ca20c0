/** What callers got, counted by kind and by the window in which they first asked. */

type Outcome = 'inAim' | 'late' | 'refused' | 'failed'
type Counts = Record<Outcome, number>

const WINDOW_MS = 2000
const WORST = 2

export class Outcomes {
  private readonly byKind = new Map<string, Counts>()
  private readonly byWindow: Counts[] = []
  /** Operations that waited for a connection and never got one. */
  hopeless = 0

  private constructor () {}

  static create (): Outcomes {
    return new Outcomes()
  }

  add (kind: string, askedAt: number, outcome: Outcome): void {
    const counts = this.byKind.get(kind) ?? none()
    counts[outcome]++
    this.byKind.set(kind, counts)
    const window = this.byWindow[Math.floor(askedAt / WINDOW_MS)] ??= none()
    window[outcome]++
  }

  get kinds (): readonly string[] {
    return [...this.byKind.keys()].sort()
  }

  of (kind: string): Readonly<Counts> {
    return this.byKind.get(kind) ?? none()
  }

  get all (): Readonly<Counts> {
    return [...this.byKind.values()].reduce(sum, none())
  }

  /** The share of operations in their aim, by window. */
  get windows (): readonly number[] {
    return this.byWindow.map(shareInAim)
  }

  /** The share of operations in their aim, in the two worst windows. */
  get worst (): number {
    const worst = [...this.windows].sort((a, b) => a - b).slice(0, WORST)
    return worst.reduce((total, one) => total + one, 0) / worst.length
  }

  get inAim (): number {
    return shareInAim(this.all)
  }
}

function none (): Counts {
  return { inAim: 0, late: 0, refused: 0, failed: 0 }
}

function sum (a: Counts, b: Counts): Counts {
  return { inAim: a.inAim + b.inAim, late: a.late + b.late, refused: a.refused + b.refused, failed: a.failed + b.failed }
}

function shareInAim ({ inAim, late, refused, failed }: Counts): number {
  return inAim / Math.max(1, inAim + late + refused + failed)
}
