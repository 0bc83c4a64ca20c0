/** Asks other hosts for the configuration while the store is away. */

import { setTimeout as pause } from 'node:timers/promises'
import type { Log } from '../log/log.ts'
import type { Knowledge } from './knowledge.ts'
import type { Peers } from './peers.ts'

interface Options {
  readonly peers: Peers
  readonly log: Log
  readonly isReady: () => boolean
  readonly learn: (knowledge: Knowledge) => void
}

/** The store gets so long to answer before peers are asked, and they are asked so often; a calm store answers in a tenth of it. */
const EVERY_MS = 300

/**
 * Guard against a process that can't serve for as long as the store is away,
 * though its neighbours can: all processes of a data centre are restarted in an
 * outage, and callers find nobody. It shows by processes that aren't ready.
 * What peers know holds, since versions only grow: of several answers the
 * newest is taken, and the store's own takes its place when it's back.
 * Ends once the process is ready.
 */
export async function askPeers ({ peers, log, isReady, learn }: Options, signal: AbortSignal): Promise<void> {
  for (;;) {
    await pause(EVERY_MS, undefined, { signal }).catch(() => 'the signal ends the loop')
    if (signal.aborted || isReady()) return
    const answers = await peers.ask(signal)
    if (isReady()) return
    const [newest] = [...answers].sort((a, b) => versionOf(b) - versionOf(a))
    log.write('peersAsked', { answers: answers.length, endpoints: newest?.endpoints.length ?? 0 })
    if (newest !== undefined) learn(newest)
  }
}

/** The version of the newest row of the configuration; 0 without one. */
function versionOf ({ config }: Knowledge): number {
  return Math.max(0, ...config.map(({ version }) => version))
}
