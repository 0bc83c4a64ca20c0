/** Leading white space and comments of a statement. */

const LEADING_TRIVIA = /^(?:\s+|\/\*(?!!)[\s\S]*?\*\/|--[ \t][^\n]*(?:\n|$)|#[^\n]*(?:\n|$)|\()+/

/** The statement without its leading white space, comments and open parentheses. */
export function skipLeadingTrivia (sql: string): string {
  return sql.replace(LEADING_TRIVIA, '')
}
