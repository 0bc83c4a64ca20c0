/**
 * The configuration in force in one process, and the only way to replace it.
 *
 * Guard against a configuration that reverts: a stale peer, a message that
 * was on its way for long, or a process that was paused and wakes up may all
 * offer an old version at any time. Only a higher one is taken, whoever offers
 * it, and versions are created once and never rewritten, so every process
 * passes through versions in one order.
 */

import { err, ok, type Result } from 'neverthrow'
import type { ConfigVersion } from '../id/version.ts'
import type { Json } from '../json.ts'
import type { ConfigCandidate } from './configcandidate.ts'
import { Change } from './change.ts'
import type { Config } from './config.ts'
import { parseConfig } from './document.ts'

/**
 * - `old`: not higher than what is in force.
 * - `gap`: a change to a version that this process doesn't have; the whole is needed.
 * - `invalid`: this program can't read it; `problem` says why.
 */
type Refusal = { readonly kind: 'old' } | { readonly kind: 'gap' } | { readonly kind: 'invalid', readonly problem: string }

interface Held {
  readonly config: Config
  readonly document: Json
  /** What led here from the version before, for peers that have that one. */
  readonly change: Json | undefined
}

const NONE = 0 as ConfigVersion

/** Immutable; `offer` yields the next holder. */
export class ConfigHolder {
  private constructor (private readonly held: Held | undefined) {}

  static empty = new ConfigHolder(undefined)

  get config (): Config | undefined {
    return this.held?.config
  }

  get version (): ConfigVersion {
    return this.held?.config.version ?? NONE
  }

  /** Whether it knows the change that led here from the version before. */
  get hasChange (): boolean {
    return this.held?.change !== undefined
  }

  offer (candidate: ConfigCandidate): Result<ConfigHolder, Refusal> {
    if (candidate.version <= this.version) return err({ kind: 'old' })
    if (candidate.base !== NONE && candidate.base !== this.version) return err({ kind: 'gap' })
    const document = candidate.base === NONE ? ok(candidate.body) : Change.of(candidate.body).apply(this.held!.document)
    return document
      .andThen(whole => parseConfig(candidate.version, whole).map(config => this.next(candidate, config, whole)))
      .mapErr(problem => ({ kind: 'invalid', problem }))
  }

  /** What to send a host that has `base`: the change when it has the version before, else the whole. */
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
