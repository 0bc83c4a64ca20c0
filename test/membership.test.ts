import type { Connection, RowDataPacket } from 'mysql2/promise'
import { afterEach, describe, expect, it } from 'vitest'
import { connectCaller } from '../standin/caller.ts'
import { Stage } from '../standin/stage.ts'

const SLOT_TAKEN = 2001
const SLOT_LEFT = 2002

let stage: Stage

afterEach(async () => { await stage.stop() })

async function connect (proxy: number): Promise<Connection> {
  return await connectCaller(stage, proxy)
}

function lines (proxy: number, event: number, text = ''): readonly string[] {
  return stage.proxies[proxy]!.child!.lines.filter(line => line.includes(`"event":${event},`) && line.includes(text))
}

/** The proxies that hold a slot of the endpoint, by their logs. */
function owners (endpoint: string): readonly number[] {
  const text = `"endpoint":"${endpoint}"`
  return stage.proxies.map((_, i) => i).filter(i =>
    stage.proxies[i]!.child!.isRunning && lines(i, SLOT_TAKEN, text).length > lines(i, SLOT_LEFT, text).length)
}

async function until (holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise(resolve => { setTimeout(resolve, 20) })
}

/** Milliseconds until a write with a new key is acknowledged. */
async function untilWritten (caller: Connection, name: string): Promise<number> {
  const began = performance.now()
  for (let i = 0; ; i++) {
    const isDone = await caller.query(`INSERT INTO crimp VALUES ('${name}${i}', 1)`).then(() => true, () => false)
    if (isDone) return performance.now() - began
    await new Promise(resolve => { setTimeout(resolve, 20) })
  }
}

describe('five proxies before three endpoints with one slot each', () => {
  // A host dies with its slots while the platform's list still shows it as live; later one freezes, is taken for dead,
  // and wakes up. The list catches up in between. Callers of the others must get through, and in the end each slot has one owner again.
  it('take over the slots of one that died or froze', async () => {
    stage = await Stage.start({ proxies: 5, slotsPerEndpoint: 1 })
    const ids = stage.endpoints.map(one => one.id)
    await until(() => ids.every(id => owners(id).length === 1))
    const caller = await connect(stage.proxies.findIndex((_, i) => ids.every(id => !owners(id).includes(i))))
    await stage.setUp(caller, 'CREATE TABLE IF NOT EXISTS crimp (terminal TEXT PRIMARY KEY, passed INTEGER)')

    const dead = owners(ids[0]!)[0]!
    await stage.proxies[dead]!.child!.end('SIGKILL')
    const killedMs = await untilWritten(caller, 'killed')
    expect(owners(ids[0]!)).toHaveLength(1)
    await stage.hosts({ [stage.proxies[dead]!.id]: 'gone' })

    const frozen = owners(ids[0]!)[0]!
    const other = await connect(stage.proxies.findIndex((_, i) => i !== dead && i !== frozen))
    stage.proxies[frozen]!.child!.signal('SIGSTOP')
    const frozenMs = await untilWritten(other, 'frozen')
    expect(owners(ids[0]!)).toHaveLength(2)
    stage.proxies[frozen]!.child!.signal('SIGCONT')
    await until(() => ids.every(id => owners(id).length === 1))
    await other.query("INSERT INTO crimp VALUES ('last', 1)")
    const [rows] = await other.query<RowDataPacket[]>("/* read=crimp */ SELECT * FROM crimp WHERE terminal = 'last'")
    expect(rows).toHaveLength(1)
    await Promise.all([caller.end(), other.end()])
    console.log(`writes again ${killedMs.toFixed(0)} ms after the kill, ${frozenMs.toFixed(0)} ms after the freeze`)
  })
})
