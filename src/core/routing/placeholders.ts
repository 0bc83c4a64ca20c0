/** The places of `?` parameters in a statement, outside of strings, names and comments. */

/**
 * What never ends goes to the end of the statement: were it no token, the search
 * would begin again at its next character, and its work grow with the square.
 */
const SQL_TOKEN = /'(?:[^'\\]|\\[\s\S]|'')*(?:'|\\?$)|"(?:[^"\\]|\\[\s\S]|"")*(?:"|\\?$)|`[^`]*(?:`|$)|\/\*[\s\S]*?(?:\*\/|$)|--[ \t][^\n]*|#[^\n]*|\?/g

/** Offsets of the parameters, in order. */
export function findPlaceholders (sql: string): readonly number[] {
  return [...sql.matchAll(SQL_TOKEN)]
    .filter(match => match[0] === '?')
    .map(match => match.index)
}
