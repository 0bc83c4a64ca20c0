/** Asks other hosts for the configuration while the store is away. */

import { setTimeout as pause } from 'node:timers/promises'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import type { Log } from '../../log/log.ts'
import type { Knowledge } from './knowledge.ts'
import type { Peers } from './peers.ts'

interface Options {
  readonly peers: Peers
  readonly log: Log
  /** Whether there is nothing to ask for: this process is ready, and the store answers it. */
  readonly isSettled: () => boolean
  /** Other hosts that are known; without any, those that the settings name are asked. */
  readonly hosts: () => readonly PoolHost[]
  readonly chance: () => number
  /** Whether it was news. */
  readonly learn: (knowledge: Knowledge) => boolean
}

/** Each time so many hosts are asked: with a third of all cut off from the store as well, three in a hundred times none of them knows more. */
const ASKED = 3
/** The store gets so long to answer before peers are asked, and they are asked so often; a calm store answers in a tenth of it. */
const EVERY_MS = 300

/**
 * Guard against a process that can't serve for as long as the store is away,
 * though its neighbours can: all processes of a data centre are restarted in an
 * outage, and callers find nobody. It shows by processes that aren't ready.
 * Guard also against a host that the store alone turns away: it would go on with
 * an old version, for its callers and for those whose sessions others pass on to it.
 * What peers know holds, since versions only grow: of several answers the
 * newest is taken, and the store's own takes its place when it's back.
 */
export async function askPeers ({ peers, log, isSettled, hosts, chance, learn }: Options, signal: AbortSignal): Promise<void> {
  for (;;) {
    await pause(EVERY_MS, undefined, { signal }).catch(() => 'the signal ends the loop')
    if (signal.aborted) return
    if (isSettled()) continue
    const answers = await peers.ask(drawn(hosts(), chance), signal)
    const [newest] = [...answers].sort((a, b) => versionOf(b) - versionOf(a))
    const isNews = newest !== undefined && learn(newest)
    if (isNews) log.write('peersAsked', { answers: answers.length, version: versionOf(newest) })
  }
}

function drawn (hosts: readonly PoolHost[], chance: () => number): readonly PoolHost[] {
  return hosts.map(host => ({ host, draw: chance() })).sort((a, b) => a.draw - b.draw).slice(0, ASKED).map(({ host }) => host)
}

/** The version of the newest row of the configuration; 0 without one. */
function versionOf ({ config }: Knowledge): number {
  return Math.max(0, ...config.map(({ version }) => version))
}
