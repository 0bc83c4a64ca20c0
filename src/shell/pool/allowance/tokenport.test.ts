/** Token requests whose answers are late, over sockets. */

import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { expect, it } from 'vitest'
import { freePorts } from '../../../../standin/ports.ts'
import type { TeamId } from '../../../core/id/team.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import { Log } from '../../log/log.ts'
import { TokenPort } from './tokenport.ts'

const IP = '127.0.0.1'

it('an answer that comes late is told, and grants nothing', async () => {
  // Guards against a healthy issuer that counts as silent, since its answers are late on a full link.
  const [issuerPort, port] = await freePorts(2) as [number, number]
  const stopped = new AbortController()
  const issuer = createSocket({ type: 'udp4', signal: stopped.signal })
  issuer.bind(issuerPort, IP)
  await once(issuer, 'listening')
  const asked = once(issuer, 'message')
  const tokens = TokenPort.listen({ ip: IP, port }, Log.silent, stopped.signal)
  const told = new Promise<string>(resolve => {
    tokens.ask({ address: { ip: IP, port: issuerPort } } as PoolHost, { team: 'red' as TeamId, place: 0, count: 1 }, 20, () => resolve('late')).then(async grant => {
      const [message] = await asked as [Buffer]
      const { ask } = JSON.parse(message.toString()) as { ask: number }
      if (grant === undefined) issuer.send(JSON.stringify({ answer: ask, count: 1, nextMs: 0 }), port, IP)
      else resolve('granted')
    })
  })
  expect(await told).toBe('late')
  stopped.abort()
})
