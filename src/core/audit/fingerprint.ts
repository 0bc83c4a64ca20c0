/** The shape of a statement, without its values. */

const MAX_LENGTH = 200

/**
 * Comments, then what stands for a value: strings in either quote (also ones
 * that never end, so that the rest of a broken statement isn't kept), and
 * numbers that aren't part of a name. Quoted names in backquotes stay.
 */
const VALUE_OR_COMMENT = /\/\*[\s\S]*?(?:\*\/|$)|(?:--[ \t]|#)[^\n]*|`[^`]*`|(?:\b[xbn])?'(?:[^'\\]|\\[\s\S]|'')*(?:'|$)|"(?:[^"\\]|\\[\s\S]|"")*(?:"|$)|(?<![\w$])\d+(?:\.\d+)?(?:e[+-]?\d+)?\w*|\s+/gi
const VALUE_LIST = /\(\s*\?(?:\s*,\s*\?)+\s*\)(?:\s*,\s*\(\s*\?(?:\s*,\s*\?)*\s*\))*/g

/** The statement with each value replaced by `?`, lists of values by `(?, ...)`, cut to 200 characters. */
export function fingerprint (sql: string): string {
  const shape = sql.replace(VALUE_OR_COMMENT, replaceMatch).replace(VALUE_LIST, '(?, ...)').trim()
  return shape.length > MAX_LENGTH ? `${shape.slice(0, MAX_LENGTH)}...` : shape
}

function replaceMatch (part: string): string {
  if (part[0] === '`') return part
  return /^(?:\/\*|--|#|\s)/.test(part) ? ' ' : '?'
}
