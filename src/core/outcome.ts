/** How a request ended. */

/**
 * - `done`: it ran, and for a write its effect is acknowledged.
 * - `failed`: the endpoint refused it; it had no effect.
 * - `notRun`: proved that it had no effect and will have none.
 * - `unknown`: it may have run; settled later by the request's id.
 */
export type Outcome = 'done' | 'failed' | 'notRun' | 'unknown'
