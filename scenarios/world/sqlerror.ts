/** An error with which an endpoint answers a statement. */

export class SqlError extends Error {
  private constructor (readonly code: number, message: string) {
    super(message)
  }

  static readonly readOnly = new SqlError(1290, 'The MySQL server is running with the --super-read-only option')
  static readonly duplicate = new SqlError(1062, 'Duplicate entry')
}
