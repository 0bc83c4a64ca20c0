/** What a failover monitor is doing. */

import type { Sample } from '../group/sample.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Term } from '../id/term.ts'
import type { Ballot } from './ballot.ts'
import type { Survey } from './survey.ts'

/**
 * - `watching`: nothing is wrong.
 * - `waiting`: the primary is suspected; monitors of a lower rank go first.
 * - `asking`: every endpoint is asked for its state before any is sealed; `term` was the highest known before.
 * - `sealing`: the votes of a term are collected.
 * - `promoting`: the chosen endpoint was told to be primary.
 * - `handing`: a leaving primary takes no more writes, and a replica catches up with it.
 */
export type Phase =
  | { readonly kind: 'watching' }
  | { readonly kind: 'waiting', readonly until: Instant, readonly cause: string }
  | { readonly kind: 'asking', readonly term: Term, readonly until: Instant, readonly survey: Survey, readonly cause: string }
  | { readonly kind: 'sealing', readonly term: Term, readonly until: Instant, readonly ballot: Ballot, readonly cause: string }
  | { readonly kind: 'promoting', readonly term: Term, readonly until: Instant, readonly endpoint: EndpointId, readonly cause: string }
  | { readonly kind: 'handing', readonly term: Term, readonly until: Instant, readonly held: Sample | undefined }
