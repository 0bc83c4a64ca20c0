/** Reads JSON that others wrote. */

/** Undefined for a text that isn't JSON: what others wrote must not end the process. */
export function readJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
