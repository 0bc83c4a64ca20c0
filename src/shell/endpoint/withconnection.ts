/** Borrows a connection for work of the proxy's own. */

import type { EndpointConnection } from './connection.ts'
import type { Slot } from './slot.ts'

const BORROW_TIMEOUT_MS = 1000

/** The proxy's own work goes behind all callers'. */
const INTERNAL_REQUEST = { class: 'browsing', caller: '', deadlineMs: BORROW_TIMEOUT_MS, isTransaction: false }

/** Gives the connection back as clean only when all of the work was answered. */
export async function withConnection (slot: Slot, work: (connection: EndpointConnection) => Promise<void>): Promise<void> {
  const connection = await slot.borrow(INTERNAL_REQUEST, giveUp =>
    AbortSignal.timeout(BORROW_TIMEOUT_MS).addEventListener('abort', giveUp, { once: true }))
  let isClean = false
  try {
    await work(connection)
    isClean = true
  } finally {
    slot.returnConnection(connection, isClean)
  }
}
