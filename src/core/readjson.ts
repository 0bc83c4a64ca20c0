/** Parses JSON from outside of the process. */

/** Returns undefined when the text isn't JSON. */
export function readJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
