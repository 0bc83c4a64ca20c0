/** Statements that commit by themselves, as MySQL's manual lists them. */

import { skipBlank } from '../routing/blank.ts'

const ALWAYS = /^(?:create(?!\s+temporary)|alter|drop(?!\s+temporary)|truncate|rename|grant|revoke|lock|unlock|analyze|optimize|repair|check|flush|reset|install|uninstall|load|begin|start|xa|set\s+password)\b/i
const MAY = /^(?:call|prepare|execute)\b/i

/**
 * - `always`: inside of a transaction it would commit what came before.
 * - `may`: a stored procedure or prepared text, whose statements can't be seen from here.
 * - `never`: any other.
 */
export function implicitCommit (sql: string): 'always' | 'may' | 'never' {
  const body = skipBlank(sql)
  if (ALWAYS.test(body)) return 'always'
  return MAY.test(body) ? 'may' : 'never'
}
