/** The name of a prepared statement on connections that callers share. */

/**
 * One name a shape, so that all sessions share what is prepared and no two
 * shapes can meet under one name: the name holds the shape itself.
 */
export function preparedName (isWrite: boolean, shape: string): string {
  return `${isWrite ? 'w' : 'r'}_${shape}`
}
