/** The id of a session: a sequence of requests that reads its own writes. */

import type { Brand } from '../brand.ts'

/** Names a session across connections and proxies. */
export type SessionId = Brand<string, 'SessionId'>
