/** What a client said of itself when it connected. */

export interface Login {
  readonly user: string
  readonly database: string
  readonly attributes: Readonly<Record<string, string>>
  readonly address: string
  /** Whether the client knows the password of the hash. */
  verifyPassword (passwordHash: string): boolean
  /** Closes the connection after what was written to it. */
  closeConnection (): void
}
