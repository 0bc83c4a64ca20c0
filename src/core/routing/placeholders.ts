/** The places of `?` parameters in a statement, outside of strings, names and comments. */

const TOKEN = /'(?:[^'\\]|\\[\s\S]|'')*'|"(?:[^"\\]|\\[\s\S]|"")*"|`[^`]*`|\/\*[\s\S]*?\*\/|--[ \t][^\n]*|#[^\n]*|\?/g

/** Offsets of the parameters, in order. */
export function placeholders (sql: string): readonly number[] {
  return [...sql.matchAll(TOKEN)]
    .filter(match => match[0] === '?')
    .map(match => match.index)
}
