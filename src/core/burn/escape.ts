/** Escapes text for HTML. */

const ENTITIES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;' }

/** Names come from the configuration and must not be read as markup. */
export function escapeText (text: string): string {
  return text.replace(/[&<>"]/g, sign => ENTITIES[sign]!)
}
