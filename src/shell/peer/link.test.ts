/** A link whose address is answered by the expected host or by another one. */

import { describe, expect, it } from 'vitest'
import type { HostId } from '../../core/id/host.ts'
import { freePorts } from '../../../standin/ports.ts'
import { Log } from '../log/log.ts'
import { PeerLink } from './link.ts'
import { PeerServer } from './server.ts'

// If the address of host-2 was reassigned to host-3, a link that took host-3 for host-2 would send it requests for
// slots that it doesn't own, and the failed host-2 would seem alive.
describe('a link to an address', () => {
  it.each([['host-2', true], ['host-3', false]])('that %s answers at is linked to host-2: %j', async (answering, isLinked) => {
    const stop = new AbortController()
    const [port] = await freePorts(1)
    const slots = { run: () => { throw new Error('not asked') }, confirm: async () => { throw new Error('not asked') }, release: () => undefined }
    await PeerServer.listen({
      ip: '127.0.0.1', port: port!, host: answering as HostId, incarnation: '1', heartbeatIntervalMs: 200, silenceTimeoutMs: 60_000, slots, initialFrames: () => [], onConfig: () => undefined, status: () => ({})
    }, stop.signal)
    const heard = await new Promise<boolean>(resolve => {
      PeerLink.open({
        address: `127.0.0.1:${port}`,
        self: 'host-1' as HostId,
        peer: 'host-2' as HostId,
        incarnation: '1',
        heartbeatIntervalMs: 200,
        silenceTimeoutMs: 60_000,
        retryIntervalMs: 100,
        log: Log.silent,
        onSample: () => undefined,
        onWrote: () => undefined,
        onLinked: () => undefined,
        onConfig: () => undefined,
        onHeld: () => undefined,
        onActivity: () => resolve(true),
        onLost: () => resolve(false)
      }, stop.signal)
    })
    stop.abort()
    expect(heard).toBe(isLinked)
  })
})
