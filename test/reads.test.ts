/* Reads of sessions that roam, on whole processes. */

import type { Connection, RowDataPacket } from 'mysql2/promise'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { connectCaller } from '../standin/caller.ts'
import { Stage } from '../standin/stage.ts'

const LAG_MS = 100
const STEPS = 60
const MOST_TRIES = 1000
/** A machine that is busy with other work takes its time. */
const MOST_MS = 240_000
const SEED = 20261202
const READS = ['', '/* read=browse */ ', '/* read=crimp */ '] as const

describe('a session that roams', () => {
  let stage: Stage
  const stop = new AbortController()
  const chance = xoroshiro128plus(SEED)
  const pick = (most: number): number => (chance.next() >>> 0) % most

  beforeAll(async () => {
    stage = await Stage.start({ proxies: 4, lagMs: LAG_MS })
    const first = await connect(0, 'installer')
    await first.query('/* class=urgent deadline=20s */ CREATE TABLE IF NOT EXISTS rebooking (session TEXT, n INTEGER)')
    await first.end()
  })
  afterAll(async () => {
    stop.abort()
    await stage.stop()
  })

  const connect = async (proxy: number, session: string): Promise<Connection> => {
    const connection = await connectCaller(stage, proxy, { connectAttributes: { agatepond_session: session } })
    // A killed proxy shows as an error event too; the failed statement tells the test all it needs.
    connection.on('error', () => undefined)
    return connection
  }

  // A dispatcher rebooks through one proxy and looks through another while
  // others write all the time and replicas lag by 100 ms. Then one proxy is
  // killed, and then the primary. Wrong: any look that doesn't show the
  // newest rebooking that was acknowledged.
  it('sees every acknowledged write, through the death of a proxy and of the primary', async () => {
    const live = new Set([0, 1, 2, 3])
    const load = [0, 1].map(async i => await keepWriting(await connect(i, `load-${i}`), stop.signal))
    const roamer = new Map(await Promise.all([...live].map(async i => [i, await connect(i, 'roamer')] as const)))
    const visitor = new Map(await Promise.all([...live].map(async i => [i, await connect(i, 'visitor')] as const)))
    const seen = { acknowledged: 0, reads: 0 }
    const anyOf = (connections: ReadonlyMap<number, Connection>): Connection => {
      const left = [...live]
      return connections.get(left[pick(left.length)]!)!
    }
    let acknowledged = 0
    for (let step = 1; step <= STEPS; step++) {
      if (step === STEPS / 3) {
        live.delete(3)
        await stage.proxies[3]!.child!.end('SIGKILL')
      }
      if (step === STEPS * 2 / 3) {
        const primary = await stage.primary('shop')
        await stage.endpoints.find(one => one.id === primary)!.child.end('SIGKILL')
      }
      const wasWritten = await anyOf(roamer).query(`INSERT INTO rebooking VALUES ('roamer', ${step})`).then(() => true, () => false)
      if (wasWritten) {
        acknowledged = step
        seen.acknowledged++
      }
      for (const read of READS) {
        const newest = await readNewest(() => anyOf(roamer), read)
        seen.reads++
        expect(newest, `step ${step}, ${read}`).toBeGreaterThanOrEqual(acknowledged)
        await readNewest(() => anyOf(visitor), '')
      }
    }
    stop.abort()
    await Promise.all(load)
    for (const connection of [...roamer.values(), ...visitor.values()]) connection.destroy()
    expect(seen.acknowledged).toBeGreaterThan(STEPS / 2)
    expect(seen.reads).toBe(STEPS * READS.length)
    expect(await replicaReads()).toBeGreaterThan(0)
  }, MOST_MS)

  /** The answer to a read; one that is refused during a failover is asked again, as a caller would. */
  const readNewest = async (next: () => Connection, hint: string): Promise<number> => {
    for (let tries = 0; tries < MOST_TRIES; tries++) {
      const answer = await next().query<RowDataPacket[]>(`${hint}SELECT MAX(n) AS n FROM rebooking WHERE session = 'roamer'`).catch(() => undefined)
      if (answer !== undefined) return Number(answer[0][0]!.n ?? 0)
      await pause()
    }
    throw new Error('no proxy answered a read')
  }

  const keepWriting = async (connection: Connection, signal: AbortSignal): Promise<void> => {
    for (let i = 0; !signal.aborted; i++) {
      await connection.query(`INSERT INTO rebooking VALUES ('load', ${i})`).catch(pause)
    }
    connection.destroy()
  }

  const pause = async (): Promise<void> => {
    await new Promise(resolve => { setTimeout(resolve, 10) })
  }

  const replicaReads = async (): Promise<number> => {
    const texts = await Promise.all([0, 1, 2].map(async i => await stage.metrics(i)))
    const lines = texts.flatMap(text => text.split('\n')).filter(line => /^agatepond_requests_total\{kind="read",place="replica",outcome="done"/.test(line))
    return lines.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0)
  }
})
