import type { Connection, RowDataPacket } from 'mysql2/promise'
import { afterEach, describe, expect, it } from 'vitest'
import { connectCaller } from '../standin/caller.ts'
import { Stage } from '../standin/stage.ts'

const SLOT_TAKEN = 2001

let stage: Stage

afterEach(async () => { await stage.stop() })

async function connect (proxy: number): Promise<Connection> {
  return await connectCaller(stage, proxy)
}

/** Tries a write with a new key each time until one is acknowledged. */
async function written (caller: Connection, name: string): Promise<string> {
  for (let i = 0; ; i++) {
    const isDone = await caller.query(`INSERT INTO crimp VALUES ('${name}${i}', 1)`).then(() => true, () => false)
    if (isDone) return `${name}${i}`
    await new Promise(resolve => { setTimeout(resolve, 50) })
  }
}

describe('an outage of the platform', () => {
  // The store and the host list are down for the whole shift. Meanwhile a proxy dies with its slots and a primary fails.
  // Were any of that to wait for the store, the line would stand still until the platform's operators are done.
  it('stops no read, no write, no failover and no take-over of slots', async () => {
    stage = await Stage.start({ proxies: 3, slotsPerEndpoint: 1 })
    const setUp = await connect(0)
    await stage.setUp(setUp, 'CREATE TABLE IF NOT EXISTS crimp (terminal TEXT PRIMARY KEY, passed INTEGER)')
    await setUp.end()
    await stage.faults({ down: true, listDown: true })
    const { tableWrites } = await stage.counts()

    const holders = stage.proxies.map((_, i) => i).filter(i => stage.proxies[i]!.child!.lines.some(line => line.includes(`"event":${SLOT_TAKEN},`)))
    const dead = holders[0]!
    await stage.proxies[dead]!.child!.end('SIGKILL')
    const caller = await connect((dead + 1) % 3)
    const due = [await written(caller, 'proxy')]
    const primary = await stage.primary('shop')
    await stage.endpoints.find(one => one.id === primary)!.child.end('SIGKILL')
    due.push(await written(caller, 'endpoint'))
    const [rows] = await caller.query<RowDataPacket[]>('/* read=crimp */ SELECT terminal FROM crimp')
    expect(rows.map(row => row.terminal)).toEqual(expect.arrayContaining(due))
    expect((await stage.counts()).tableWrites).toBe(tableWrites)

    // A proxy that starts now has nobody to tell it who the others are: it must say so and take no callers.
    await stage.startProxy(dead)
    expect(await stage.unready(dead)).toMatch(/^no (configuration|host list) yet: /)
    await stage.faults({ down: false, listDown: false })
    await stage.ready(dead)
    await caller.end()
  })

  // The store works, but slowly, throttled, or so that every write takes effect and its answer is lost. A claim whose
  // answer was lost must be found again and not be taken for somebody else's, or the slot stays empty.
  it.each([
    ['slow', { slowMs: 700 }],
    ['throttled', { throttled: true }],
    ['losing its answers', { loseAnswers: 12 }]
  ])('that is %s leaves no slot empty', async (_, fault) => {
    stage = await Stage.start({ proxies: 2, slotsPerEndpoint: 1 })
    await stage.faults(fault)
    await stage.proxies[0]!.child!.end('SIGKILL')
    const caller = await connect(1)
    await stage.setUp(caller, 'CREATE TABLE IF NOT EXISTS crimp (terminal TEXT PRIMARY KEY, passed INTEGER)')
    await written(caller, 'slow')
    const taken = (id: string): number => stage.proxies[1]!.child!.lines
      .filter(line => line.includes(`"event":${SLOT_TAKEN},`) && line.includes(`"endpoint":"${id}"`)).length
    for (const { id } of stage.endpoints) {
      while (taken(id) === 0) await new Promise(resolve => { setTimeout(resolve, 50) })
      expect(taken(id)).toBe(1)
      expect(await stage.endpoint(id)).toMatchObject({ refused: 0 })
    }
    await caller.end()
  })
})
