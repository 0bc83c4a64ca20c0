/* What callers see of a whole system; the examples of docs/CALLERS.md are run here. */

import type { Connection, ConnectionOptions, RowDataPacket } from 'mysql2/promise'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { connectCaller } from '../standin/caller.ts'
import { Stage } from '../standin/stage.ts'

describe('callers', () => {
  let stage: Stage
  beforeAll(async () => {
    stage = await Stage.start({ proxies: 2, lagMs: 100 })
    const first = await connect(0)
    // Ready means that a proxy has its configuration; it may still be learning who the primary is.
    while (!await first.query('CREATE TABLE kit (id TEXT PRIMARY KEY, reels INTEGER)').then(() => true, () => false)) {
      await new Promise(resolve => { setTimeout(resolve, 50) })
    }
    await first.end()
  })
  afterAll(async () => await stage.stop())

  const connect = async (proxy: number, change: ConnectionOptions = {}): Promise<Connection> => await connectCaller(stage, proxy, change)
  const reels = async (one: Connection, id: string, hint = ''): Promise<unknown> => {
    const [rows] = await one.query<RowDataPacket[]>(`${hint}SELECT reels FROM kit WHERE id = '${id}'`)
    return rows[0]?.reels
  }

  it.each<[string, ConnectionOptions, number]>([
    ['a wrong password', { password: 'wrong' }, 1045],
    ['no password', { password: '' }, 1045],
    ['an unknown caller', { user: 'nobody' }, 1045],
    ['a database of another pool', { database: 'other' }, 1044]
  ])('refuses %s with MySQL\'s own code', async (_, change, errno) => {
    await expect(connect(0, change)).rejects.toMatchObject({ errno })
  })

  it.each<[string, ConnectionOptions, string, string]>([
    ['a connection attribute', { connectAttributes: { agatepond_session: 'planner-1' } }, '', ''],
    ['a session variable', {}, "SET @agatepond_session = 'planner-2'", ''],
    ['a comment', {}, '', '/* session=planner-3 */ ']
  ])('names a session by %s, which then reads its writes at another proxy', async (way, change, set, hint) => {
    const [a, b] = await Promise.all([connect(0, change), connect(1, change)])
    if (set !== '') await Promise.all([a.query(set), b.query(set)])
    await a.query(`${hint}INSERT INTO kit VALUES ('${way}', 4)`)
    expect(await reels(b, way, hint)).toBe(4)
    await Promise.all([a.end(), b.end()])
  })

  it('takes the token of one connection at another', async () => {
    const [a, b] = await Promise.all([connect(0), connect(1)])
    const token = async (): Promise<unknown> => (await a.query<RowDataPacket[]>('SELECT @@agatepond_token'))[0][0]!['@@agatepond_token']
    expect(await token()).toBe('')
    await a.query("INSERT INTO kit VALUES ('token', 2)")
    const newest = await token()
    expect(newest).toMatch(/^\d+:\d+$/)
    expect(await reels(b, 'token', `/* token=${newest} */ `)).toBe(2)
    await b.query(`SET @agatepond_token = '${newest}'`)
    expect(await reels(b, 'token')).toBe(2)
    await Promise.all([a.end(), b.end()])
  })

  it('runs transactions and prepared statements', async () => {
    const one = await connect(1)
    await one.beginTransaction()
    await one.execute('INSERT INTO kit VALUES (?, ?)', ["it's", 7])
    await one.rollback()
    expect(await reels(one, "it''s")).toBeUndefined()
    await one.beginTransaction()
    await one.execute('INSERT INTO kit VALUES (?, ?)', ["it's", 8])
    await one.execute('UPDATE kit SET reels = reels + ? WHERE id = ?', [1, "it's"])
    await one.commit()
    const [rows] = await one.execute<RowDataPacket[]>('SELECT id, reels, NULL AS none FROM kit WHERE id = ?', ["it's"])
    expect(rows).toEqual([{ id: "it's", reels: 9, none: null }])
    await one.end()
  })
})
