/** Limits on a whole system of processes. */

import type { Connection } from 'mysql2/promise'
import { afterAll, beforeAll, expect, it } from 'vitest'
import { connectCaller } from '../standin/caller.ts'
import { Stage } from '../standin/stage.ts'

const CONNECTIONS = 6
const STATEMENT_MS = 60
const CLIENTS = 60
const ROUNDS = 4
const URGENT = 20
/** Enough for the service time of browsing to be known. */
const WARM_UP = 40

let stage: Stage
beforeAll(async () => {
  stage = await Stage.start({ proxies: 1, statementMs: STATEMENT_MS, connectionsPerSlot: CONNECTIONS })
})
afterAll(async () => await stage?.stop())

async function connect (): Promise<Connection> {
  return await connectCaller(stage, 0)
}

/*
 * Sixty citizens browse windows that four connections serve in 60 ms each, and
 * give each look-up 300 ms: about three times what fits. Meanwhile a driver
 * confirms drop-offs. First in, first out the driver waits with the citizens and every
 * refused citizen waits 300 ms for it. Cause: nobody says no before the deadline.
 */
it('at three times the load browsing is refused with a time to come back, and urgent requests all pass', async () => {
  const clients = await Promise.all(Array.from({ length: CLIENTS }, connect))
  const driver = await connect()
  await driver.query('/* class=urgent */ CREATE TABLE drop_off (id INTEGER PRIMARY KEY)')
  for (let i = 0; i < WARM_UP; i++) await clients[0]!.query('/* class=browsing read=crimp */ SELECT COUNT(*) FROM drop_off')
  const answers: string[] = []
  const browse = async (client: Connection): Promise<void> => {
    for (let i = 0; i < ROUNDS; i++) {
      await client.query('/* class=browsing read=crimp deadline=300ms */ SELECT COUNT(*) FROM drop_off')
        .then(() => answers.push('done'), (err: Error) => answers.push(err.message))
    }
  }
  const browsing = Promise.all(clients.map(browse))
  const urgent: string[] = []
  for (let i = 0; i < URGENT; i++) {
    await driver.query(`/* class=urgent deadline=5s */ INSERT INTO drop_off VALUES (${i})`)
      .then(() => urgent.push('done'), (err: Error) => urgent.push(err.message))
  }
  await browsing
  expect(urgent).toEqual(Array(URGENT).fill('done'))
  const refused = answers.filter(one => one.startsWith('not run'))
  expect(answers).toHaveLength(CLIENTS * ROUNDS)
  expect(answers).toContain('done')
  expect(refused.length).toBeGreaterThan(CLIENTS)
  expect(answers.slice(0, 8).filter(one => one === 'done').length, 'refusals come before the first answers').toBeLessThan(4)
  expect(refused.filter(one => !/come back after [1-9]\d*ms$/.test(one))).toEqual([])
  await Promise.all([...clients, driver].map(async one => await one.end()))
})
