/** What became of an order for a place. */

/** `refuse` is final: it was not sent, and can't be in its time. */
export interface PlaceAction {
  readonly kind: 'start' | 'refuse'
  readonly id: number
}
