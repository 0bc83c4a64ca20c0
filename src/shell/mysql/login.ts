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
  /** Whether a command or a part of one has arrived and hasn't reached the handler. */
  isReceiving (): boolean
  /**
   * Closes the connection behind an error packet, as MySQL does when it shuts
   * down: a command that crosses the close gets it as its answer. No command
   * that arrives later is read. Resolves when everything written to the
   * connection has been sent, or the client has closed it.
   */
  closeConnection (code: number, message: string): Promise<void>
}
