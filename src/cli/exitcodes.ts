/** Exit codes of the command line; the list stands in docs/OPERATIONS.md too. */

export const exitCodes = {
  done: 0,
  /** What was asked for didn't hold or wasn't found. */
  refused: 1,
  /** The command, its settings or its input are wrong; nothing was started. */
  usage: 2,
  /** The outcome isn't known; ask again. */
  unknown: 3
} as const
