import { copyFileSync, mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { create } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import { createGrpcTransport } from '@connectrpc/connect-node'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { BatchSchema, Peer, type Batch } from '../src/gen/peer_pb.ts'
import { TlsKeys } from '../src/shell/peer/tlskeys.ts'
import { createPeerSession } from '../src/shell/peer/tlssession.ts'
import { Stage } from '../standin/stage.ts'

let stage: Stage
let dir: string

beforeEach(() => { dir = mkdtempSync(join(tmpdir(), 'agatepond-keys-')) })

afterEach(async () => {
  await stage.stop()
  rmSync(dir, { recursive: true })
})

/** Gives a host the keys that an authority made for `as`. */
function issue (host: string, authority: 'first' | 'second', as = host): void {
  copyFileSync(`test/keys/${authority}-${as}.key`, join(dir, `${host}.key`))
  copyFileSync(`test/keys/${authority}-${as}.pem`, join(dir, `${host}.pem`))
  copyFileSync(`test/keys/${authority}.pem`, join(dir, `${host}-authority.pem`))
}

function tls (): string {
  return ['[peers.tls]', `key = "${dir}/{host}.key"`, `certificate = "${dir}/{host}.pem"`, `authority = "${dir}/{host}-authority.pem"`].join('\n')
}

function lines (proxy: number, event: number): readonly string[] {
  return stage.proxies[proxy]!.child!.lines.filter(line => line.includes(`"event":${event},`))
}

/** Which peers a proxy says it linked to, since its line `from`. */
function linked (proxy: number, from = 0): string[] {
  return [...new Set(lines(proxy, 4001).slice(from).map(line => (JSON.parse(line) as { peer: string }).peer))].sort()
}

async function until (holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise(resolve => { setTimeout(resolve, 20) })
}

/** How many frames the first proxy sends to one that says it's host-2; ends with the link, or with its first frame. */
async function framesFor (authority: 'first' | 'second' | 'none' | 'clear', as: string, trusted = 'first'): Promise<number> {
  const { peers } = stage.proxies[0]!
  const files = { key: `test/keys/${authority}-${as}.key`, certificate: `test/keys/${authority}-${as}.pem`, authority: `test/keys/${trusted}.pem` }
  const keys = authority === 'clear' || authority === 'none' ? undefined : TlsKeys.read(files)
  const plain = { baseUrl: `https://127.0.0.1:${peers}`, nodeOptions: { rejectUnauthorized: false } }
  const transport = createGrpcTransport(authority === 'none' ? plain : createPeerSession(`127.0.0.1:${peers}`, 'host-1', keys))
  const stop = new AbortController()
  let isOver = (): void => undefined
  const over = new Promise<void>(resolve => { isOver = resolve })
  async function * hello (): AsyncGenerator<Batch> {
    yield create(BatchSchema, { frames: [{ body: { case: 'hello', value: { host: 'host-2', incarnation: 'x' } } }] })
    await over
  }
  try {
    const answers = createClient(Peer, transport).link(hello(), { signal: stop.signal })
    const first = await answers[Symbol.asyncIterator]().next()
    return first.done === true ? 0 : first.value.frames.length
  } catch {
    return 0
  } finally {
    isOver()
    stop.abort()
  }
}

describe('peers that prove their names', () => {
  // A machine on the hosts' network opens a link as if it were a proxy. It would be told who holds what, and could give
  // orders as any host. Its certificate is missing, comes from another authority, or was made for another host.
  it('are linked, and nobody else gets a frame', async () => {
    for (const host of ['host-1', 'host-2']) issue(host, 'first')
    issue('host-3', 'second')
    stage = await Stage.start({ proxies: 3, extraSettings: tls() })
    await until(() => [0, 1].every(i => linked(i).length > 0 && lines(i, 4004).length > 0))
    const frames = {
      proper: await framesFor('first', 'host-2'),
      'no certificate': await framesFor('none', ''),
      'clear text': await framesFor('clear', ''),
      'another authority': await framesFor('second', 'host-2'),
      'another host': await framesFor('first', 'host-3')
    }
    const status = await stage.cli('status')
    expect(frames).toEqual({ proper: expect.any(Number), 'no certificate': 0, 'clear text': 0, 'another authority': 0, 'another host': 0 })
    expect(frames.proper).toBeGreaterThan(0)
    expect([linked(0), linked(1), linked(2)]).toEqual([['host-2'], ['host-1'], []])
    expect(status.stdout).toMatch(/host-1 .*ready\n.*host-2 .*ready\n.*host-3 .*does not answer/s)
  })

  // A host's certificate is the right authority's, but another host's: the list names the address, and the wrong one answers.
  it('are checked by the side that asks too', async () => {
    issue('host-1', 'first')
    issue('host-2', 'first', 'host-3')
    stage = await Stage.start({ proxies: 2, extraSettings: tls() })
    await until(() => lines(0, 4004).length > 0)
    const status = await stage.cli('status')
    expect([linked(0), linked(1)]).toEqual([[], []])
    expect(status.stdout).toMatch(/host-1 .*ready\n.*host-2 .*does not answer/s)
  })
})

describe('keys that are replaced', () => {
  // Certificates run out. The files are replaced while the proxies run; without a reload, links that break after that stay down.
  it('are used by the next links, and no open link is cut', async () => {
    for (const host of ['host-1', 'host-2']) issue(host, 'first')
    stage = await Stage.start({ proxies: 2, extraSettings: tls(), relayPeers: true })
    await until(() => linked(0).length > 0 && linked(1).length > 0)
    for (const host of ['host-1', 'host-2']) issue(host, 'second')
    await until(() => lines(0, 4005).length > 0 && lines(1, 4005).length > 0)
    const cut = lines(0, 4002).length + lines(1, 4002).length
    const before = [lines(0, 4001).length, lines(1, 4001).length] as const
    for (const { relay } of stage.proxies) relay!.silence()
    await until(() => linked(0, before[0]).length > 0 && linked(1, before[1]).length > 0)
    expect(cut).toBe(0)
    expect([await framesFor('second', 'host-2', 'second') > 0, await framesFor('first', 'host-2', 'second')]).toEqual([true, 0])
  })
})
