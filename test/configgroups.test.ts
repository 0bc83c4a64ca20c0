import type { RowDataPacket } from 'mysql2/promise'
import { afterAll, beforeAll, expect, it } from 'vitest'
import { connectCaller } from '../standin/caller.ts'
import { Stage } from '../standin/stage.ts'

const GROUPS = ['kit', 'reel', 'shop']
let stage: Stage

beforeAll(async () => { stage = await Stage.start({ proxies: 2, groups: GROUPS }) })
afterAll(async () => await stage.stop())

// Three databases instead of one, as both users have. Each proxy gets the samples of all groups; the monitor of one took a sample
// of another for its own, ordered a verb to an endpoint that it has no address of, and the process ended.
it('serves several groups side by side', async () => {
  for (const group of GROUPS) {
    for (const proxy of stage.proxies.keys()) {
      const connection = await connectCaller(stage, proxy, { database: group })
      await connection.query(`CREATE TABLE IF NOT EXISTS of_${group} (id INTEGER)`)
      await connection.query(`INSERT INTO of_${group} VALUES (1)`)
      const [rows] = await connection.query<RowDataPacket[]>(`SELECT * FROM of_${group}`)
      expect(rows.length).toBeGreaterThan(0)
      await connection.end()
    }
  }
  expect(stage.proxies.map(proxy => proxy.child!.isRunning)).toEqual([true, true])
})
