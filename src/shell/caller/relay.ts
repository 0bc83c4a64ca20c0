/** Relays one answer from a slot owner to a caller. */

import { create } from '@bufbuild/protobuf'
import { RunSchema, type Done, type Run } from '../../gen/peer_pb.ts'
import { BinaryRowEncoder } from '../mysql/binaryrowencoder.ts'
import type { Reply } from '../mysql/reply.ts'
import { refusal } from '../peer/refusal.ts'
import type { SlotPort } from '../peer/slotport.ts'

type Request = Omit<Run, '$typeName' | 'id' | '$unknown'>

/**
 * Runs a request and passes its rows on as they come. Credit is given back
 * only for what the caller has taken, so a slow caller holds up its own
 * endpoint connection and no more than a window of memory. `onRunning` gets the call that gives the
 * request up, to be made when its caller is gone.
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
    // The caller is gone: nobody is left to take the answer, so its connection must not be used for another's.
    onRunning(() => {
      running.cancel()
      resolve(refusal(0, 'lost', 'the caller closed its connection'))
    })
  })
}
