/** Detects statements that commit implicitly, as listed in the MySQL manual. */

import { skipLeadingTrivia } from '../routing/trivia.ts'

const ALWAYS_COMMITS = /^(?:create(?!\s+temporary)|alter|drop(?!\s+temporary)|truncate|rename|grant|revoke|lock|unlock|analyze|optimize|repair|check|flush|reset|install|uninstall|load|begin|start|xa|set\s+password)\b/i
const MAY_COMMIT = /^(?:call|prepare|execute)\b/i

/**
 * - `always`: inside a transaction it would commit what came before.
 * - `may`: a stored procedure or prepared text, whose statements aren't visible to the proxy.
 * - `never`: any other.
 */
export function implicitCommit (sql: string): 'always' | 'may' | 'never' {
  const body = skipLeadingTrivia(sql)
  if (ALWAYS_COMMITS.test(body)) return 'always'
  return MAY_COMMIT.test(body) ? 'may' : 'never'
}
