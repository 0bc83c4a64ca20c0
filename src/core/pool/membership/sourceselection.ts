/** Selects the hosts that this one follows, and whether it reads from the store itself. */

import type { Instant } from '../../id/instant.ts'
import type { SyncState } from './syncstate.ts'
import type { HostEntry } from './hostentry.ts'
import type { LinkId } from './linkid.ts'
import { linkOf } from './linkof.ts'

interface SourceSelection {
  readonly links: readonly LinkId[]
  /** Whether this host queries the store for its followers. */
  readonly isReader: boolean
}

/** When one reader ends, the other serves its followers. */
const READERS_PER_DATA_CENTRE = 2
/** Failed queries in a row after which a host also follows the next reader; a single one may be a lost answer. */
const MAX_FAILURES = 2
/** Retry interval for seed hosts while no other host is known, since all hosts may be starting at once. */
const SEED_RETRY_MS = 200
/** Time for which a starting host waits for the host registry before it uses the seed hosts. */
const REGISTRY_WAIT_MS = 300

/**
 * The first hosts of the ranking are the readers of their data centre, and the other hosts follow them. Readers also follow those of other
 * data centres, since both readers of one may be cut off from the store at once. A source that doesn't answer, or whose own data is late, is
 * excluded for a while and the next host takes its place. A host that has followers reads, whatever its own ranking says.
 */
export function selectSources (state: SyncState, now: Instant): SourceSelection {
  const { ranking, links, self, seeds, isSeed, followers, consultedUntil } = state
  const consultedLinks = [...consultedUntil].filter(([, until]) => now < until).map(([id]) => id)
  const isFollowed = followers.links.length > 0
  if (isRegistryPending(state, now)) return { links: consultedLinks, isReader: isFollowed }
  if (ranking.hosts.length === 1) {
    const seedLinks = seeds.filter(id => !links.isExcluded(id, now, SEED_RETRY_MS))
    return { links: [...seedLinks, ...consultedLinks], isReader: isSeed || seeds.length === 0 || isFollowed }
  }
  const isSelf = ({ id }: HostEntry) => id === self.id
  const candidates = takeFirst(READERS_PER_DATA_CENTRE + 1, ranking.local, host => isSelf(host) || !links.isExcluded(linkOf(host), now))
  const usable = candidates.filter(host => !isSelf(host) || !isFailedByStore(state))
  const isReaderByRank = candidates.slice(0, READERS_PER_DATA_CENTRE).some(isSelf)
  const localLinks = usable.slice(0, READERS_PER_DATA_CENTRE).filter(host => !isSelf(host)).map(linkOf)
  const remoteLinks = isReaderByRank || isDataCentreCutOff(state, now) ? takeFirst(READERS_PER_DATA_CENTRE, ranking.remote, host => !links.isExcluded(linkOf(host), now)).map(linkOf) : []
  return { links: [...new Set([...localLinks, ...remoteLinks, ...consultedLinks])], isReader: isReaderByRank || isFollowed }
}

/** Whether this host's queries keep failing. */
function isFailedByStore ({ queries }: SyncState): boolean {
  return queries.config.failures >= MAX_FAILURES
}

/** Whether neither this host nor a source of its data centre has had an answer from the store in time. */
function isDataCentreCutOff ({ localSourceAt, startedAt, pace, queries }: SyncState, now: Instant): boolean {
  const answeredAt = queries.config.answeredAt ?? startedAt
  return now - Math.max(localSourceAt, startedAt, answeredAt + pace.longPollMs.config) > pace.silenceTimeoutMs
}

/** The first `count` hosts that fit. A loop, since it runs on every event and can stop early in a long list. */
function takeFirst (count: number, hosts: readonly HostEntry[], isFit: (host: HostEntry) => boolean): readonly HostEntry[] {
  const found: HostEntry[] = []
  for (const host of hosts) {
    if (isFit(host)) found.push(host)
    if (found.length === count) break
  }
  return found
}

function isRegistryPending ({ tables, queries, startedAt }: SyncState, now: Instant): boolean {
  return tables.roll.version === undefined && queries.roll.failures === 0 && now - startedAt < REGISTRY_WAIT_MS
}
