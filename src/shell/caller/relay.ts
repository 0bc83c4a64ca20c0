/** Relays the result of one request from a slot owner to a caller. */

import { create } from '@bufbuild/protobuf'
import { RunSchema, type Done, type Run } from '../../gen/peer_pb.ts'
import { BinaryRowEncoder } from '../mysql/binaryrowencoder.ts'
import type { Reply } from '../mysql/reply.ts'
import { refusal } from '../peer/refusal.ts'
import type { SlotPort } from '../peer/slotport.ts'

type Request = Omit<Run, '$typeName' | 'id' | '$unknown'>

/**
 * Runs a request and forwards its rows as they arrive. Credit is granted only
 * for rows that the caller has consumed, so a slow caller blocks its own
 * endpoint connection and buffers at most one credit window. `onRunning`
 * receives the function that cancels the request when the caller disconnects.
 */
export async function relay (port: SlotPort | undefined, request: Request, reply: Reply, isBinary: boolean, onRunning: (cancel: () => void) => void): Promise<Done> {
  if (port === undefined) return refusal(0, 'noSlotOwner')
  return await new Promise<Done>(resolve => {
    let binary: BinaryRowEncoder | undefined
    const running = port.run(create(RunSchema, request), {
      head: columns => {
        if (isBinary) binary = BinaryRowEncoder.of(columns)
        reply.head(columns)
      },
      rows: rows => {
        const bytes = rows.reduce((sum, row) => sum + row.length, 0)
        const isTaken = reply.rows(binary === undefined ? rows : rows.map(row => binary!.encode(row)))
        if (isTaken) return running.credit(bytes)
        reply.waitForDrain().then(() => running.credit(bytes))
      },
      done: resolve
    })
    // The caller is gone, and the unread result makes the endpoint connection unusable for other requests.
    onRunning(() => {
      running.cancel()
      resolve(refusal(0, 'lost', 'the caller closed its connection'))
    })
  })
}
