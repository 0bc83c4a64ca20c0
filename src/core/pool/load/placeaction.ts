/** What was decided about a request for a place. */

/** `refuse` is final: the statement wasn't sent, and can't be done before its deadline. */
export interface PlaceAction {
  readonly kind: 'start' | 'refuse'
  readonly id: number
}
