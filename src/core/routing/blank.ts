/** Leading white space and comments of a statement. */

const BLANK = /^(?:\s+|\/\*(?!!)[\s\S]*?\*\/|--[ \t][^\n]*(?:\n|$)|#[^\n]*(?:\n|$)|\()+/

/** The statement without its leading white space, comments and open parentheses. */
export function skipBlank (sql: string): string {
  return sql.replace(BLANK, '')
}
