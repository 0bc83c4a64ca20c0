/** Borrows a connection for work of the proxy's own. */

import type { EndpointConnection } from './connection.ts'
import type { Slot } from './slot.ts'

const WAIT_MS = 1000

/** The proxy's own work goes behind all callers'. */
const OWN_WORK = { class: 'browsing', caller: '', deadlineMs: WAIT_MS, isTransaction: false }

/** Gives the connection back as clean only when all of the work was answered. */
export async function useConnection (slot: Slot, work: (connection: EndpointConnection) => Promise<void>): Promise<void> {
  const connection = await slot.borrow(OWN_WORK, giveUp =>
    AbortSignal.timeout(WAIT_MS).addEventListener('abort', giveUp, { once: true }))
  let isClean = false
  try {
    await work(connection)
    isClean = true
  } finally {
    slot.giveBack(connection, isClean)
  }
}
