/** Reduces a statement to its shape, without its values. */

const MAX_LENGTH = 200

/**
 * Matches comments, values, white space and names in backquotes. Values are
 * strings in either kind of quotes, including unterminated ones, so that the rest
 * of a malformed statement isn't kept, and numbers that aren't part of a name.
 * Names in backquotes match so that their contents are kept as they are.
 */
const VALUE_OR_COMMENT = /\/\*[\s\S]*?(?:\*\/|$)|(?:--[ \t]|#)[^\n]*|`[^`]*`|(?:\b[xbn])?'(?:[^'\\]|\\[\s\S]|'')*(?:'|$)|"(?:[^"\\]|\\[\s\S]|"")*(?:"|$)|(?<![\w$])\d+(?:\.\d+)?(?:e[+-]?\d+)?\w*|\s+/gi
const VALUE_LIST = /\(\s*\?(?:\s*,\s*\?)+\s*\)(?:\s*,\s*\(\s*\?(?:\s*,\s*\?)*\s*\))*/g

/** Replaces each value by `?` and each list of values by `(?, ...)`; longer results are cut to 200 characters. */
export function fingerprint (sql: string): string {
  const shape = sql.replace(VALUE_OR_COMMENT, replaceMatch).replace(VALUE_LIST, '(?, ...)').trim()
  return shape.length > MAX_LENGTH ? `${shape.slice(0, MAX_LENGTH)}...` : shape
}

function replaceMatch (part: string): string {
  if (part[0] === '`') return part
  return /^(?:\/\*|--|#|\s)/.test(part) ? ' ' : '?'
}
