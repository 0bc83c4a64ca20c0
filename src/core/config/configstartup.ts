/**
 * Whether a process that starts may put a version in force, and why it isn't
 * ready before.
 *
 * Guard against a configuration that reverts over a restart: with the store
 * down the first peer to answer may be one that was cut off and is behind the
 * version that this host ran before. So a peer's version counts only when the
 * store has answered, when all hosts of the list have said what they have, or
 * when they had `GRACE_MS` to do so: some of the list may be dead.
 */

import type { HostId } from '../id/host.ts'
import type { Instant } from '../id/instant.ts'
import type { ConfigVersion } from '../id/version.ts'

interface Fields {
  readonly startedAt: Instant
  readonly isStoreRead: boolean
  readonly storeProblem: string
  /** The other hosts of the list, and what each said that it has. */
  readonly peers: readonly HostId[]
  readonly answers: ReadonlyMap<HostId, ConfigVersion>
}

const PEER_GRACE_MS = 1500

/** Immutable; the methods yield the next state. */
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

  /** Whether a version that a peer offered may be put in force. */
  canTake (version: ConfigVersion, now: Instant): boolean {
    const { startedAt: began, isStoreRead, peers, answers } = this.fields
    if (isStoreRead || now - began >= PEER_GRACE_MS) return true
    const isAnswered = peers.length > 0 && peers.every(host => answers.has(host))
    return isAnswered && [...answers.values()].every(other => other <= version)
  }

  /** Why there is no configuration yet. */
  get reason (): string {
    const { storeProblem, peers, answers } = this.fields
    return `no configuration yet: the store ${storeProblem}; ${answers.size} of ${peers.length} peers answered`
  }
}
