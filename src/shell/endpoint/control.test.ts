/** Probes of an endpoint whose answer has arrived and isn't read when their time is over. */

import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Instant } from '../../core/id/instant.ts'
import { freePorts } from '../../../standin/ports.ts'
import type { CommandHandler } from '../mysql/commandhandler.ts'
import type { Reply } from '../mysql/reply.ts'
import { MysqlServer } from '../mysql/server.ts'
import { EndpointControl } from './control.ts'

const PROBE_MS = 300
const HELD_UP_MS = 1000
const COLUMNS = ['role', 'term', 'lastTerm', 'received', 'applied', 'starts']
const VALUES = ['primary', '3', '3', '8', '8', '[]']
const lengthCoded = (text: string): Buffer => Buffer.concat([Buffer.from([text.length]), Buffer.from(text)])
const column = (name: string): Buffer =>
  Buffer.concat([...['def', '', '', '', name, name].map(lengthCoded), Buffer.from([12, 45, 0, 0, 1, 0, 0, 253, 0, 0, 0, 0, 0])])

describe('a probe', () => {
  let stop: AbortController
  let control: EndpointControl
  let isHeldUp: boolean

  beforeEach(async () => {
    stop = new AbortController()
    isHeldUp = false
    const [port] = await freePorts(1)
    const query = async (_: string, reply: Reply): Promise<void> => {
      reply.head(COLUMNS.map(column))
      reply.rows([Buffer.concat(VALUES.map(lengthCoded))])
      reply.end()
      if (isHeldUp) setImmediate(holdUp)
    }
    const handler = { query, closed: () => undefined } as unknown as CommandHandler
    await MysqlServer.listen({ host: '127.0.0.1', port: port!, tracksSession: false, accept: async () => handler }, stop.signal)
    const address = { ip: '127.0.0.1', port: port!, user: 'app', password: '', database: 'shop', connectMs: 10_000 }
    control = EndpointControl.create('shop-1' as EndpointId, address, 'host-1', () => performance.now() as Instant)
  })
  afterEach(() => {
    control.close()
    stop.abort()
  })

  // A process that was held up took an answer that it hadn't read for a miss; two misses have a healthy primary replaced.
  it('is answered when its answer has arrived before its time is judged', async () => {
    await control.status(10_000)
    isHeldUp = true
    expect(await control.status(PROBE_MS)).toMatchObject({ role: 'primary', term: 3 })
  })
})

/** Holds the process up, with what was written before on its way. */
function holdUp (): void {
  const until = performance.now() + HELD_UP_MS
  while (performance.now() < until) { /* held up */ }
}
