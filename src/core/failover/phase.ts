/** The phases of a failover monitor. */

import type { Sample } from '../group/sample.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Term } from '../id/term.ts'
import type { Ballot } from './ballot.ts'
import type { Survey } from './survey.ts'

/**
 * - `watching`: no failure is known.
 * - `waiting`: the primary is suspected; monitors of lower rank go first.
 * - `surveying`: every endpoint is asked for its state before any is sealed; `term` is the highest known when that began.
 * - `sealing`: the votes of a term are collected.
 * - `promoting`: the chosen endpoint was ordered to become primary.
 * - `handover`: a leaving primary takes no more writes while a replica catches up with it.
 */
export type Phase =
  | { readonly kind: 'watching' }
  | { readonly kind: 'waiting', readonly until: Instant, readonly cause: string }
  | { readonly kind: 'surveying', readonly term: Term, readonly until: Instant, readonly survey: Survey, readonly cause: string }
  | { readonly kind: 'sealing', readonly term: Term, readonly until: Instant, readonly ballot: Ballot, readonly cause: string }
  | { readonly kind: 'promoting', readonly term: Term, readonly until: Instant, readonly endpoint: EndpointId, readonly cause: string }
  | { readonly kind: 'handover', readonly term: Term, readonly until: Instant, readonly held: Sample | undefined }
