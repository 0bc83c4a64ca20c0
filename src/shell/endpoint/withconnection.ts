/** Borrows a connection for internal work. */

import type { EndpointConnection } from './connection.ts'
import type { Slot } from './slot.ts'

const BORROW_TIMEOUT_MS = 1000

/** Internal work has the lowest priority. */
const INTERNAL_REQUEST = { class: 'browsing', caller: '', deadlineMs: BORROW_TIMEOUT_MS, isTransaction: false }

/** Runs the work on a borrowed connection, which is closed afterwards if the work fails. Rejects when no connection is free. */
export async function withConnection (slot: Slot, work: (connection: EndpointConnection) => Promise<void>): Promise<void> {
  const connection = await slot.borrow(INTERNAL_REQUEST, cancel =>
    AbortSignal.timeout(BORROW_TIMEOUT_MS).addEventListener('abort', cancel, { once: true }))
  let isClean = false
  try {
    await work(connection)
    isClean = true
  } finally {
    slot.returnConnection(connection, isClean)
  }
}
