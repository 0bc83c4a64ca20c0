import type { MessageInitShape } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import { createGrpcTransport } from '@connectrpc/connect-node'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { Peer, type BatchSchema, type FrameSchema } from '../src/gen/peer_pb.ts'
import { Stage } from '../standin/stage.ts'

let stage: Stage

beforeAll(async () => { stage = await Stage.start({ proxies: 3 }) })
afterAll(async () => await stage.stop())

/** The versions that a proxy put in force, in order, from its log. */
function applied (i: number): readonly number[] {
  const lines = stage.proxies[i]!.child!.lines.filter(line => line.includes('"event":5001'))
  return lines.map(line => (JSON.parse(line) as { version: number }).version)
}

async function until (holds: () => Promise<boolean> | boolean): Promise<void> {
  while (!await holds()) await new Promise(resolve => { setTimeout(resolve, 20) })
}

async function everywhere (version: number, proxies = [0, 1, 2]): Promise<void> {
  await until(() => proxies.every(i => applied(i).at(-1) === version))
}

async function ready (i: number): Promise<{ status: number, text: string }> {
  const res = await fetch(`http://127.0.0.1:${stage.proxies[i]!.metrics}/ready`)
  return { status: res.status, text: await res.text() }
}

async function restart (i: number): Promise<void> {
  await stage.proxies[i]!.child!.end('SIGKILL')
  await stage.startProxy(i)
}

/** Sends a body to a proxy as a peer would, then a digest of 0; the version that the proxy answers with. */
async function toldVersion (i: number, body: { version: number, base: number, json: string }): Promise<number | undefined> {
  const client = createClient(Peer, createGrpcTransport({ baseUrl: `http://127.0.0.1:${stage.proxies[i]!.peers}` }))
  const stop = new AbortController()
  const frames: ReadonlyArray<MessageInitShape<typeof FrameSchema>> = [
    { body: { case: 'hello', value: { host: 'host-9', incarnation: 'stale' } } },
    { body: { case: 'configBody', value: body } },
    { body: { case: 'configDigest', value: { version: 0 } } }
  ]
  async function * batches (): AsyncGenerator<MessageInitShape<typeof BatchSchema>> {
    yield { frames: [...frames] }
    await new Promise(resolve => stop.signal.addEventListener('abort', resolve))
  }
  for await (const batch of client.link(batches())) {
    const answer = batch.frames.find(frame => frame.body.case === 'configBody')
    if (answer?.body.case !== 'configBody') continue
    stop.abort()
    return answer.body.value.version
  }
  return undefined
}

const change = (connectionsPerSlot: number): object => ({ change: { groups: [{ id: 'shop', connectionsPerSlot }] } })

describe('the configuration of a whole system', () => {
  it('is patched, compared and listed from the command line', async () => {
    expect(await stage.patch(1, change(20))).toMatchObject({ code: 0, stdout: 'version 2 accepted\n' })
    await everywhere(2)
    const late = await stage.patch(1, change(30))
    expect(late.code).toBe(1)
    expect(late.stderr).toContain('version 2 is the newest')
    expect(late.stderr).toContain('~ groups.shop.connectionsPerSlot: 16 -> 20')
    expect(await stage.patch(2, { change: { colour: 'red' } })).toMatchObject({ code: 2 })
    expect((await stage.cli('diff', '1', '2')).stdout).toBe('~ groups.shop.connectionsPerSlot: 16 -> 20\n')
    expect(JSON.parse((await stage.cli('show', '2')).stdout)).toMatchObject({ groups: [{ id: 'shop', connectionsPerSlot: 20 }] })
    expect(await stage.cli('show', '9')).toMatchObject({ code: 1 })
    expect(JSON.parse((await stage.cli('history', '--json')).stdout)).toMatchObject([{ version: 1 }, { version: 2 }])
    expect(await stage.cli('status')).toMatchObject({ code: 0 })
  })

  // Two operators patch the same version at once: one wins, the other is told.
  it('lets one of two racing operators win', async () => {
    const both = await Promise.all([stage.patch(2, change(21)), stage.patch(2, change(22))])
    expect(both.map(one => one.code).sort()).toEqual([0, 1])
    await everywhere(3)
  })

  // A proxy is paused while the configuration changes twice and the store goes down. When it wakes up it still has
  // the old version and may tell it to others; all must end at the newest, and none may go back on the way.
  it('is never reverted by a proxy that was frozen, nor by a store outage', async () => {
    stage.proxies[2]!.child!.signal('SIGSTOP')
    await stage.patch(3, change(23))
    await stage.patch(4, change(24))
    await everywhere(5, [0, 1])
    await stage.faults({ down: true })
    stage.proxies[2]!.child!.signal('SIGCONT')
    await everywhere(5)
    for (const i of [0, 1, 2]) expect([...applied(i)].sort((a, b) => a - b)).toEqual(applied(i))
    await stage.faults({ down: false })
  })

  // A peer that was cut off for an hour sends what was in force then, whole, to a proxy that has gone on since.
  // The proxy must keep what it has; asked afterwards on the same link, it answers with that.
  it('is never reverted by a stale peer', async () => {
    const before = applied(0).at(-1)!
    expect(await toldVersion(0, { version: 1, base: 0, json: JSON.stringify(stage.config()) })).toBe(before)
    expect(applied(0).at(-1)).toBe(before)
  })

  // A proxy is replaced while the store is down: it takes what its peers have, and serves.
  it('comes from the peers while the store is down', async () => {
    await stage.faults({ down: true })
    await restart(1)
    await everywhere(5)
    expect(applied(1)).toEqual([5])
    expect((await ready(1)).status).toBe(200)
    const status = await stage.cli('status')
    expect(status).toMatchObject({ code: 0 })
    expect(status.stdout).toContain('waits: the next poll')
    await stage.faults({ down: false })
  })

  // All proxies start anew while the store is down: nobody has a configuration, and each says why it isn't ready.
  it('is missed aloud when neither the store nor a peer has it', async () => {
    await stage.faults({ down: true })
    await Promise.all([0, 1, 2].map(async i => await stage.proxies[i]!.child!.end('SIGKILL')))
    await Promise.all([0, 1, 2].map(async i => await stage.startProxy(i)))
    await until(async () => (await ready(0)).text.includes('the store does not answer'))
    expect((await ready(0)).status).toBe(503)
    await stage.faults({ down: false })
    await everywhere(5)
  })

  // The store takes a patch and its answer is lost, then goes down. Until it's back nobody can say whether the
  // patch was accepted; the same command with the same id settles it, and doesn't make a second version.
  it('settles a lost answer by the id of the patch', async () => {
    await stage.faults({ loseAnswers: 1 })
    expect(await stage.patch(5, change(25))).toMatchObject({ code: 0, stdout: 'version 6 accepted\n' })
    await stage.faults({ down: true })
    const lost = await stage.patch(6, change(26))
    expect(lost.code).toBe(3)
    expect(lost.stderr).toMatch(/run the same command with --id [\w-]+/)
    await stage.faults({ down: false })
    await everywhere(6)
  })
})
