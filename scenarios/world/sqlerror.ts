/** An error with which an endpoint answers a statement. */

export class SqlError extends Error {
  private constructor (readonly code: number, message: string) {
    super(message)
  }

  static readonly readOnly = new SqlError(1290, 'The MySQL server is running with the --super-read-only option')
  /** A verb that the endpoint refuses. */
  static refusal (message: string): SqlError {
    return new SqlError(1644, message)
  }

  static readonly lateConfirmation = new SqlError(1205, 'received too little in time')
  static readonly duplicate = new SqlError(1062, 'Duplicate entry')
}
