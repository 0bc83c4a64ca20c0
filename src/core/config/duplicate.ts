/** Uniqueness of the names of a list. */

/** The first name that comes twice. */
export function findDuplicate (names: readonly string[]): string | undefined {
  const seen = new Set<string>()
  return names.find(name => seen.size === seen.add(name).size)
}
