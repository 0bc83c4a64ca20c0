/**
 * Decides when a starting process may apply a configuration, and why it isn't ready before.
 *
 * With the store down, the first peer that answers may be behind the version that this host had before its restart, and the configuration
 * would revert. So a peer's version is accepted only once the store has answered, all listed hosts have reported their versions, or
 * `PEER_GRACE_MS` have passed, since some of the hosts may be down.
 */

import type { HostId } from '../id/host.ts'
import type { Instant } from '../id/instant.ts'
import type { ConfigVersion } from '../id/version.ts'

interface Fields {
  readonly startedAt: Instant
  readonly isStoreRead: boolean
  readonly storeProblem: string
  /** The other hosts of the list, and the version that each reported. */
  readonly peers: readonly HostId[]
  readonly answers: ReadonlyMap<HostId, ConfigVersion>
}

const PEER_GRACE_MS = 1500

/** Immutable; the methods return the next state. */
export class ConfigStartup {
  private constructor (private readonly fields: Fields) {}

  static begin (now: Instant): ConfigStartup {
    return new ConfigStartup({ startedAt: now, isStoreRead: false, storeProblem: 'not asked yet', peers: [], answers: new Map() })
  }

  withStoreRead (): ConfigStartup {
    return new ConfigStartup({ ...this.fields, isStoreRead: true, storeProblem: 'has no configuration; submit the first with "agatepond patch --base 0"' })
  }

  withStoreFailure (problem: string): ConfigStartup {
    return new ConfigStartup({ ...this.fields, storeProblem: `does not answer (${problem})` })
  }

  withPeers (peers: readonly HostId[]): ConfigStartup {
    return new ConfigStartup({ ...this.fields, peers })
  }

  answered (host: HostId, version: ConfigVersion): ConfigStartup {
    return new ConfigStartup({ ...this.fields, answers: new Map([...this.fields.answers, [host, version]]) })
  }

  /** Whether a version that a peer offered may be applied. */
  canTake (version: ConfigVersion, now: Instant): boolean {
    const { startedAt, isStoreRead, peers, answers } = this.fields
    if (isStoreRead || now - startedAt >= PEER_GRACE_MS) return true
    const isAnswered = peers.length > 0 && peers.every(host => answers.has(host))
    return isAnswered && [...answers.values()].every(other => other <= version)
  }

  /** Why there is no configuration yet. */
  get reason (): string {
    const { storeProblem, peers, answers } = this.fields
    return `no configuration yet: the store ${storeProblem}; ${answers.size} of ${peers.length} peers answered`
  }
}
