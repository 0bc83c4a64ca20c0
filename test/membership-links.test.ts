import type { Connection, RowDataPacket } from 'mysql2/promise'
import { afterEach, describe, expect, it } from 'vitest'
import { connectCaller } from '../standin/caller.ts'
import { Stage } from '../standin/stage.ts'

let stage: Stage

afterEach(async () => { await stage.stop() })

async function connect (proxy: number): Promise<Connection> {
  return await connectCaller(stage, proxy)
}

/** How often an event stands in the logs of all proxies. */
function events (id: number): number {
  return stage.proxies.flatMap(proxy => proxy.child!.lines).filter(line => line.includes(`"event":${id},`)).length
}

describe('links that go silent for good', () => {
  // A firewall forgets the connections between proxies: they stay open and carry nothing, while new ones work. Without
  // heartbeats every request that goes over one waits for its deadline, and a tester waits for its wire list for ever.
  it('are replaced: reads move, writes end as acknowledged or unknown, and nobody is promoted', async () => {
    stage = await Stage.start({ proxies: 3, slotsPerEndpoint: 1, relayPeers: true })
    const callers = await Promise.all([0, 1, 2].map(async i => await connect(i)))
    await stage.setUp(callers[0]!, 'CREATE TABLE IF NOT EXISTS crimp (terminal TEXT PRIMARY KEY, passed INTEGER)')
    for (const caller of callers) await caller.query('SELECT * FROM crimp')
    const lost = events(4002)
    const began = performance.now()
    const silenced = stage.proxies.reduce((sum, { relay }) => sum + relay!.silence(), 0)
    const others = await Promise.all([0, 1, 2].flatMap(i => [0, 1, 2, 3].map(async () => await connect(i))))
    const writes = callers.map(async (caller, i) =>
      await caller.query(`INSERT INTO crimp VALUES ('T${i}', 1)`).then(() => 'acknowledged', (err: Error) => err.message))
    const reads = others.map(async other => await other.query('/* read=crimp */ SELECT * FROM crimp').then(() => 'answered', (err: Error) => err.message))
    expect(new Set(await Promise.all(reads))).toEqual(new Set(['answered']))
    const ms = performance.now() - began
    const outcomes = await Promise.all(writes)
    for (const outcome of outcomes) expect(outcome).toMatch(/^acknowledged$|^outcome unknown: /)
    for (const [i, caller] of callers.entries()) await stage.setUp(caller, `INSERT OR IGNORE INTO crimp VALUES ('after${i}', 1)`)
    const [rows] = await callers[0]!.query<RowDataPacket[]>('/* read=crimp */ SELECT terminal FROM crimp')
    const found = rows.map(row => row.terminal as string)
    const due = outcomes.flatMap((outcome, i) => outcome === 'acknowledged' ? [`T${i}`] : [])
    expect(found).toEqual(expect.arrayContaining([...due, 'after0', 'after1', 'after2']))
    expect(silenced).toBeGreaterThan(0)
    expect(events(4002) - lost).toBeGreaterThanOrEqual(silenced)
    expect(events(3001)).toBe(0)
    await Promise.all([...callers, ...others].map(async one => await one.end()))
    console.log(`${silenced} links silenced; all reads answered after ${ms.toFixed(0)} ms; writes: ${outcomes.join(', ')}`)
  })
})
