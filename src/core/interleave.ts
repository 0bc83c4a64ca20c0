/** Interleaves lists. */

/** The first of each list, then the second of each, and so on. */
export function interleave<T> (lists: ReadonlyArray<readonly T[]>): readonly T[] {
  const longest = Math.max(0, ...lists.map(list => list.length))
  return Array.from({ length: longest }, (_, i) => lists.flatMap(list => list.slice(i, i + 1))).flat()
}
