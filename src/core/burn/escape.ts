/** Text in HTML. */

const ENTITIES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;' }

/** Names come from the configuration and must not become markup. */
export function escapeText (text: string): string {
  return text.replace(/[&<>"]/g, sign => ENTITIES[sign]!)
}
