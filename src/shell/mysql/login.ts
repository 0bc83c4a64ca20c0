/** The login request of a MySQL client. */

export interface Login {
  readonly user: string
  readonly database: string
  /** Connection attributes that the client sent. */
  readonly attributes: Readonly<Record<string, string>>
  /** IP address of the client. */
  readonly address: string
  /** Checks the client's password against a double SHA-1 hash in hexadecimal. */
  verifyPassword (passwordHash: string): boolean
  /** Closes the connection once everything written to it has been sent. */
  closeConnection (): void
}
