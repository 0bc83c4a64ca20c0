/** Names of prepared statements on connections that callers share. */

/** Returns one name per shape, so that all sessions share prepared statements. The name contains the shape, so that two shapes never share one. */
export function preparedName (isWrite: boolean, shape: string): string {
  return `${isWrite ? 'w' : 'r'}_${shape}`
}
