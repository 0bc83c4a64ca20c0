/** Logs the groups that refuse statements with their largest teams, one line per group and interval. */

import { classes } from '../../../core/admission/classes.ts'
import type { LoadSnapshot } from '../../../core/pool/load/loadsnapshot.ts'
import type { Log } from '../../log/log.ts'

interface Options {
  readonly look: () => LoadSnapshot
  readonly log: Log
}

type Group = LoadSnapshot['groups'][number]

/** Equal to the period of the counts, so that a refusal appears in one or two lines. */
const LOG_INTERVAL_MS = 10_000
/** Groups logged per interval, those with most refusals first, so that an outage of many groups doesn't flood the log. */
const MAX_GROUPS = 8
/** Teams named in a line. */
const MAX_TEAMS = 3

export class RefusalLog {
  private constructor (private readonly options: Options) {}

  static start (options: Options, signal: AbortSignal): void {
    const refusalLog = new RefusalLog(options)
    const timer = setInterval(() => refusalLog.logRefusals(), LOG_INTERVAL_MS)
    timer.unref()
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  private logRefusals (): void {
    const { look, log } = this.options
    const refusing = look().groups.filter(group => refusedBy(group) > 0).sort((a, b) => refusedBy(b) - refusedBy(a))
    for (const group of refusing.slice(0, MAX_GROUPS)) {
      log.write('groupRefuses', {
        group: group.group,
        done: group.classes.reduce((sum, { done }) => sum + done, 0),
        refused: refusedBy(group),
        byClass: group.classes.map(({ refused }, rank) => `${classes[rank]} ${refused}`).join(', '),
        largest: group.teams.slice(0, MAX_TEAMS).map(({ team, done, refused }) => `${team} ${done} done ${refused} refused`).join(', '),
        groups: refusing.length
      })
    }
  }
}

function refusedBy ({ classes }: Group): number {
  return classes.reduce((sum, { refused }) => sum + refused, 0)
}
