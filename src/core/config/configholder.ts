/**
 * The configuration in force in one process, and the only way to replace it.
 *
 * A stale peer, a delayed message or a process that resumes after a pause may offer an old version at any time. Only higher versions are
 * accepted, whoever offers them, and versions are never rewritten, so the configuration never reverts and every process passes
 * through versions in the same order.
 */

import { err, ok, type Result } from 'neverthrow'
import type { ConfigVersion } from '../id/version.ts'
import type { Json } from '../json.ts'
import type { ConfigCandidate } from './configcandidate.ts'
import { Change } from './change.ts'
import type { Config } from './config.ts'
import { parseConfig } from './document.ts'

/**
 * - `old`: not higher than the version in force.
 * - `gap`: a change from a version that this process doesn't have; it needs the whole document.
 * - `invalid`: this program can't read it; `problem` says why.
 */
type Refusal = { readonly kind: 'old' } | { readonly kind: 'gap' } | { readonly kind: 'invalid', readonly problem: string }

interface Held {
  readonly config: Config
  readonly document: Json
  /** The change from the previous version, for peers that have that one. */
  readonly change: Json | undefined
}

const NONE = 0 as ConfigVersion

/** Immutable; `offer` returns the next holder. */
export class ConfigHolder {
  private constructor (private readonly held: Held | undefined) {}

  static empty = new ConfigHolder(undefined)

  get config (): Config | undefined {
    return this.held?.config
  }

  get version (): ConfigVersion {
    return this.held?.config.version ?? NONE
  }

  /** Whether the change from the previous version is known. */
  get hasChange (): boolean {
    return this.held?.change !== undefined
  }

  /** Returns the holder with the candidate in force, or why it's refused. */
  offer (candidate: ConfigCandidate): Result<ConfigHolder, Refusal> {
    if (candidate.version <= this.version) return err({ kind: 'old' })
    if (candidate.base !== NONE && candidate.base !== this.version) return err({ kind: 'gap' })
    const document = candidate.base === NONE ? ok(candidate.body) : Change.of(candidate.body).apply(this.held!.document)
    return document
      .andThen(whole => parseConfig(candidate.version, whole).map(config => this.next(candidate, config, whole)))
      .mapErr(problem => ({ kind: 'invalid', problem }))
  }

  /** What to send to a host at version `base`: the change if that's the previous version, otherwise the whole document. */
  candidateFor (base: ConfigVersion): ConfigCandidate | undefined {
    if (this.held === undefined) return undefined
    const { config: { version }, document, change } = this.held
    if (base === version - 1 && base !== NONE && change !== undefined) return { version, base, body: change }
    return { version, base: NONE, body: document }
  }

  private next (candidate: ConfigCandidate, config: Config, document: Json): ConfigHolder {
    return new ConfigHolder({ config, document, change: this.changeTo(candidate, document) })
  }

  private changeTo ({ version, base, body }: ConfigCandidate, document: Json): Json | undefined {
    if (base !== NONE) return body
    const isNext = this.held !== undefined && version === this.version + 1
    return isNext ? Change.between(this.held.document, document).json : undefined
  }
}
