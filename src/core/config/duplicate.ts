/** Finds duplicate names in a list. */

/** Returns the first name that occurs a second time. */
export function findDuplicate (names: readonly string[]): string | undefined {
  const seen = new Set<string>()
  return names.find(name => seen.size === seen.add(name).size)
}
