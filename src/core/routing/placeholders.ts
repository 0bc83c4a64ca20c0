/** Offsets of the `?` parameters of a statement, outside of strings, names and comments. */

/**
 * An unterminated string or comment matches to the end of the statement. Otherwise the search would start again at its next character
 * and take quadratic time.
 */
const SQL_TOKEN = /'(?:[^'\\]|\\[\s\S]|'')*(?:'|\\?$)|"(?:[^"\\]|\\[\s\S]|"")*(?:"|\\?$)|`[^`]*(?:`|$)|\/\*[\s\S]*?(?:\*\/|$)|--[ \t][^\n]*|#[^\n]*|\?/g

/** The offsets of the parameters, in order. */
export function findPlaceholders (sql: string): readonly number[] {
  return [...sql.matchAll(SQL_TOKEN)]
    .filter(match => match[0] === '?')
    .map(match => match.index)
}
