import { createHash } from 'node:crypto'
import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import { createGrpcTransport } from '@connectrpc/connect-node'
import * as fc from 'fast-check'
import { createConnection } from 'mysql2/promise'
import { afterEach, describe, expect, it } from 'vitest'
import { BatchSchema, Peer, type Batch, type FrameSchema } from '../src/gen/peer_pb.ts'
import { Stage } from '../standin/stage.ts'

let stage: Stage

afterEach(async () => { await stage.stop() })

function sha1 (data: string | Buffer): Buffer {
  return createHash('sha1').update(data).digest()
}

describe('secrets', () => {
  // Somebody with access to the logs, the audit records or `status` reads a password there, or a customer's data out
  // of a statement: one that was answered, one that the endpoint refused, and one of a caller that was turned away.
  it('stand in no log line, no record and no answer of status', async () => {
    stage = await Stage.start({ proxies: 1, extraSettings: '[audit]\nage = "100ms"' })
    const place = { host: '127.0.0.1', port: stage.proxies[0]!.callers, user: 'app', database: 'shop' }
    const caller = await createConnection({ ...place, password: stage.password })
    await stage.setUp(caller, "CREATE TABLE IF NOT EXISTS t (a TEXT) /* 'value-in-ddl' */")
    await stage.setUp(caller, "/* session=seen-session */ INSERT INTO t VALUES ('value-in-insert')")
    await caller.execute('SELECT * FROM t WHERE a = ?', ['value-in-parameter'])
    await caller.query("SELECT nowhere FROM t WHERE a = 'value-in-error'").catch(() => undefined)
    await createConnection({ ...place, password: 'password-that-is-wrong' }).catch(() => undefined)
    await caller.end()
    let explained = ''
    while (!explained.includes('"')) explained = (await stage.cli('explain', '--session', 'seen-session', '--since', '1h', '--json')).stdout
    const status = await stage.cli('status', '--json')
    const log = stage.proxies[0]!.child!.lines.join('\n')
    const whole = [log, explained, status.stdout, status.stderr, await stage.metrics(0)].join('\n')
    const hash = sha1(sha1(stage.password)).toString('hex')
    const secrets = ['data-password', 'control-password', `"${stage.password}"`, hash, 'password-that-is-wrong',
      'value-in-ddl', 'value-in-insert', 'value-in-parameter', 'value-in-error']
    expect(secrets.filter(secret => whole.toLowerCase().includes(secret))).toEqual([])
    expect([log.includes('"event":1001'), status.stdout.includes('host-1')]).toEqual([true, true])
  })
})

type Body = MessageInitShape<typeof FrameSchema>['body']

const text = fc.oneof(fc.constantFrom('', 'shop-1', 'shop-2', '__proto__', 'constructor'), fc.string({ maxLength: 12 }))
const whole = fc.oneof(fc.constantFrom(0, 1, 0xffffffff), fc.nat())
const real = fc.double()
const bytes = fc.uint8Array({ maxLength: 30 }).map(array => Uint8Array.from(array))
const frame: fc.Arbitrary<Body> = fc.oneof(
  fc.record({ case: fc.constant('hello' as const), value: fc.record({ host: text, incarnation: text }) }),
  fc.record({ case: fc.constant('run' as const), value: fc.record({ id: whole, endpoint: text, sql: text, access: fc.nat({ max: 9 }), transaction: text, deadlineMs: whole, class: text, once: text, term: real, position: real }) }),
  fc.record({ case: fc.constant('cancel' as const), value: fc.record({ id: whole }) }),
  fc.record({ case: fc.constant('credit' as const), value: fc.record({ id: whole, bytes: whole }) }),
  fc.record({ case: fc.constant('release' as const), value: fc.record({ transaction: text }) }),
  fc.record({ case: fc.constant('confirm' as const), value: fc.record({ id: whole, endpoint: text, term: real, position: real, deadlineMs: whole }) }),
  fc.record({ case: fc.constant('rows' as const), value: fc.record({ id: whole, rows: fc.array(bytes, { maxLength: 3 }) }) }),
  fc.record({ case: fc.constant('done' as const), value: fc.record({ id: whole, outcome: fc.nat({ max: 9 }), message: text }) }),
  fc.record({ case: fc.constant('held' as const), value: fc.record({ endpoints: fc.array(text, { maxLength: 3 }) }) }))

describe('frames of any content', () => {
  it('leave the process running and its links open to others', async () => {
    stage = await Stage.start({ proxies: 1 })
    const { peers } = stage.proxies[0]!
    const client = createClient(Peer, createGrpcTransport({ baseUrl: `http://127.0.0.1:${peers}` }))
    const links = fc.sample(fc.array(frame, { maxLength: 20 }), { seed: 6, numRuns: 200 })
    for (const bodies of links) {
      async function * send (): AsyncGenerator<Batch> { yield create(BatchSchema, { frames: bodies.map(body => ({ body })) }) }
      try {
        for await (const batch of client.link(send())) expect(batch.frames.length).toBeGreaterThan(0)
      } catch (err) {
        expect((err as Error).name).toBe('ConnectError')
      }
    }
    expect(stage.proxies[0]!.child!.isRunning).toBe(true)
    expect((await client.status({})).ready).toBe(true)
  })
})
