/** Which hosts this one is to hear from, and whether others are to hear from it. */

import type { Instant } from '../../id/instant.ts'
import type { SyncState } from './syncstate.ts'
import type { HostEntry } from './hostentry.ts'
import type { LinkId } from './linkid.ts'
import { linkOf } from './linkof.ts'

interface SourceSelection {
  readonly links: readonly LinkId[]
  /** Whether this host asks the store for all. */
  readonly isReader: boolean
}

/** Two hosts of each data centre ask the store: when one ends, the other tells those that are left. */
const READERS_PER_DATA_CENTRE = 2
/** Failures in a row after which a host leaves the asking to the next: one may be a lost answer. */
const MAX_FAILURES = 2
/** Where no other host is known all start at once, and one that wasn't there yet is tried again so soon. */
const SEED_RETRY_MS = 200
/** The roll is the first thing a process asks for; hosts that the settings name are taken only where it stays unknown for so long, or is empty. */
const REGISTRY_WAIT_MS = 300

/**
 * The first hosts of the ranking ask the store, and all others hear from them. They hear from those of other data centres beside:
 * a third of all hosts may be cut off from the store at once, among them both readers of a data centre, and whoever hears from them would be blind
 * for as long as it takes to find that out (it showed as a group without a primary for six seconds, since nobody heard who had replaced it).
 * One that doesn't answer, or hears nothing from the store itself, is left out
 * for a while, and the next takes its place: a host that is followed asks the store, whatever its own view of the ranking is.
 */
export function selectSources (state: SyncState, now: Instant): SourceSelection {
  const { ranking, links, self, seeds, isSeed, followers, consultedUntil: consulted } = state
  const asked = [...consulted].filter(([, until]) => now < until).map(([id]) => id)
  const isFollowed = followers.links.length > 0
  if (isRegistryPending(state, now)) return { links: asked, isReader: isFollowed }
  if (ranking.hosts.length === 1) {
    const known = seeds.filter(id => !links.isExcluded(id, now, SEED_RETRY_MS))
    return { links: [...known, ...asked], isReader: isSeed || seeds.length === 0 || isFollowed }
  }
  const isSelf = ({ id }: HostEntry) => id === self.id
  const present = takeFirst(READERS_PER_DATA_CENTRE + 1, ranking.local, host => isSelf(host) || !links.isExcluded(linkOf(host), now))
  const fit = present.filter(host => !isSelf(host) || !isFailedByStore(state))
  const isFirst = present.slice(0, READERS_PER_DATA_CENTRE).some(isSelf)
  const near = fit.slice(0, READERS_PER_DATA_CENTRE).filter(host => !isSelf(host)).map(linkOf)
  const others = isFirst || isDataCentreCutOff(state, now) ? takeFirst(READERS_PER_DATA_CENTRE, ranking.remote, host => !links.isExcluded(linkOf(host), now)).map(linkOf) : []
  return { links: [...new Set([...near, ...others, ...asked])], isReader: isFirst || isFollowed }
}

/** Whether the store keeps failing this host. */
function isFailedByStore ({ questions }: SyncState): boolean {
  return questions.config.failures >= MAX_FAILURES
}

/** Nobody of this data centre hears from the store, and neither does this host: a data centre may be cut off from the store alone. */
function isDataCentreCutOff ({ localSourceAt: nearAt, startedAt, pace, questions }: SyncState, now: Instant): boolean {
  const answeredAt = questions.config.answeredAt ?? startedAt
  return now - Math.max(nearAt, startedAt, answeredAt + pace.longPollMs.config) > pace.silenceTimeoutMs
}

/** The first few that fit. A loop, since this is looked at with each event and the list has all hosts. */
function takeFirst (count: number, hosts: readonly HostEntry[], isFit: (host: HostEntry) => boolean): readonly HostEntry[] {
  const found: HostEntry[] = []
  for (const host of hosts) {
    if (isFit(host)) found.push(host)
    if (found.length === count) break
  }
  return found
}

function isRegistryPending ({ tables, questions, startedAt }: SyncState, now: Instant): boolean {
  return tables.roll.version === undefined && questions.roll.failures === 0 && now - startedAt < REGISTRY_WAIT_MS
}
