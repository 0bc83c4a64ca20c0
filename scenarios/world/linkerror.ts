/** The network's own failure, in contrast to a refusal by the other end. */

export class LinkError extends Error {
  private constructor (
    readonly kind: 'silent' | 'broken',
    /** Whether the question had surely not arrived. */
    readonly isUnsent: boolean
  ) {
    super(kind)
  }

  static readonly silent = new LinkError('silent', false)
  static readonly broken = new LinkError('broken', false)
  static readonly refused = new LinkError('broken', true)
}
