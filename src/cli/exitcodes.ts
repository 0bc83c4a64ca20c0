/** Exit codes of the command line. Keep the list in docs/OPERATIONS.md in step. */

export const exitCodes = {
  done: 0,
  /** The request was rejected, a check failed, or something was not found. */
  refused: 1,
  /** The command line, the settings or the input is invalid; nothing was started. */
  usage: 2,
  /** The outcome is unknown; run the command again. */
  unknown: 3
} as const
