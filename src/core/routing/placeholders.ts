/** The places of `?` parameters in a statement, outside of strings, names and comments. */

/**
 * What never ends goes to the end of the statement: were it no token, the search
 * would begin again at its next character, and its work grow with the square.
 */
const TOKEN = /'(?:[^'\\]|\\[\s\S]|'')*(?:'|\\?$)|"(?:[^"\\]|\\[\s\S]|"")*(?:"|\\?$)|`[^`]*(?:`|$)|\/\*[\s\S]*?(?:\*\/|$)|--[ \t][^\n]*|#[^\n]*|\?/g

/** Offsets of the parameters, in order. */
export function placeholders (sql: string): readonly number[] {
  return [...sql.matchAll(TOKEN)]
    .filter(match => match[0] === '?')
    .map(match => match.index)
}
