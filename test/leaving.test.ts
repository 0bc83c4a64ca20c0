import { createConnection, type Connection } from 'mysql2/promise'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { Stage } from '../standin/stage.ts'
import { leave } from './failover/leave.ts'

/** Checks after which the endpoint must have been left, rounds that must then pass it by, and rounds of a check. */
const MOST_ROUNDS = 40
const QUIET_ROUNDS = 20
const FEW_ROUNDS = 5

let stage: Stage
const callers: Connection[] = []

beforeAll(async () => {
  stage = await Stage.start({ proxies: 3 })
  for (const { callers: port } of stage.proxies) {
    callers.push(await createConnection({ host: '127.0.0.1', port, user: 'app', password: stage.password, database: 'shop' }))
  }
  await callers[0]!.query('/* class=urgent deadline=20s */ CREATE TABLE IF NOT EXISTS window (id INTEGER)')
})

afterAll(async () => {
  for (const caller of callers) caller.destroy()
  await stage.stop()
})

describe('a replica that is leaving', () => {
  // Citizens browse while operators take a replica out. Reads that still go there would break off
  // when its host is switched off. The mark comes with the configuration, which reaches every proxy
  // by itself, and the proxies read on from what they know until it does.
  it('gets no statement after every proxy has heard of it', async () => {
    const replica = stage.endpoints.map(one => one.id).find(id => id !== 'shop-1')!
    while (await added(replica, FEW_ROUNDS) === 0) await stage.ready(0)
    await leave(stage, replica)
    let rounds = 0
    while (rounds < MOST_ROUNDS && await added(replica, FEW_ROUNDS) > 0) rounds++
    expect(rounds).toBeLessThan(MOST_ROUNDS)
    expect(await added(replica, QUIET_ROUNDS)).toBe(0)
  })
})

/** How many statements reach the endpoint during rounds of a read through each proxy. */
async function added (endpoint: string, rounds: number): Promise<number> {
  const before = Number((await stage.endpoint(endpoint)).statements)
  for (let i = 0; i < rounds; i++) {
    for (const caller of callers) await caller.query('SELECT * FROM window')
    await new Promise(resolve => { setTimeout(resolve, 20) })
  }
  return Number((await stage.endpoint(endpoint)).statements) - before
}
