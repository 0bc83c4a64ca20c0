import type { Connection, ResultSetHeader, RowDataPacket } from 'mysql2/promise'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { connectCaller } from '../standin/caller.ts'
import { Stage } from '../standin/stage.ts'

let stage: Stage
const open: Connection[] = []

beforeAll(async () => {
  stage = await Stage.start({ proxies: 3 })
  const setup = await connect(0)
  await until(async () => { await setup.query('CREATE TABLE IF NOT EXISTS reel (id INTEGER PRIMARY KEY, metres INTEGER)') })
  await until(async () => { await setup.query('INSERT OR IGNORE INTO reel VALUES (1, 100)') })
})

afterAll(async () => {
  for (const connection of open) connection.destroy()
  await stage.stop()
})

describe('a request under an idempotency key', () => {
  // A kit issue takes wire from a reel. Its answer never comes, the station sends it again
  // through another proxy, and the reel count must go down once.
  it('has one effect however often it is sent, through any proxy', async () => {
    const sql = '/* once=kit-1 */ UPDATE reel SET metres = metres - 10 WHERE id = 1'
    expect([await told(0, sql), await told(1, sql), await metres()]).toEqual(['done, 1 affected', 'done, 1 affected', 90])
  })

  it('is refused when the key belongs to another statement', async () => {
    const sql = '/* once=kit-1 */ UPDATE reel SET metres = metres - 20 WHERE id = 1'
    expect(await told(2, sql)).toMatch(/^not run: the idempotency key belongs to another statement/)
    expect(await metres()).toBe(90)
  })

  it('tells its outcome later', async () => {
    expect(await told(1, "SHOW AGATEPOND OUTCOME 'kit-1'")).toBe('done, 1 affected')
  })

  it('that is asked for before it ran never runs', async () => {
    expect(await told(1, "SHOW AGATEPOND OUTCOME 'kit-2'")).toMatch(/^not run: the idempotency key was settled/)
    expect(await told(0, '/* once=kit-2 */ UPDATE reel SET metres = 0')).toMatch(/^not run: the idempotency key was settled/)
    expect(await metres()).toBe(90)
  })

  it('covers a whole transaction when it is on BEGIN', async () => {
    await transaction('kit-3')
    expect(await told(1, '/* once=kit-3 */ BEGIN')).toMatch(/^a transaction with this idempotency key was committed before and its effect stands/)
    expect(await metres()).toBe(88)
  })

  it('can be used again when its transaction was rolled back', async () => {
    expect(await told(0, '/* once=kit-4 */ BEGIN')).toMatch(/^done/)
    expect(await told(1, '/* once=kit-4 */ BEGIN')).toMatch(/^done/)
  })
})

/** Errors after which a caller sends its request again: nothing ran, or the key makes a second try harmless. */
const AGAIN: ReadonlySet<number> = new Set([1203, 1213, 1290, 2003, 2013, 3024])

/** What a caller is told that sends its request, on a connection of its own, until it's settled. */
async function told (proxy: number, sql: string): Promise<string> {
  for (;;) {
    const connection = await connect(proxy)
    const answer = await connection.query<ResultSetHeader>(sql).then(
      ([header]) => `done, ${header.affectedRows} affected`,
      (err: Error & { errno: number }) => AGAIN.has(err.errno) ? undefined : err.message)
    connection.destroy()
    if (answer !== undefined) return answer
    await new Promise(resolve => { setTimeout(resolve, 20) })
  }
}

/** Takes two metres in a transaction under a key, begun again until it's committed. */
async function transaction (key: string): Promise<void> {
  await until(async () => {
    const connection = await connect(0)
    const begun = await connection.query(`/* once=${key} */ BEGIN`).then(() => 0, (err: { errno: number }) => err.errno)
    if (begun === ALREADY_DONE) return
    if (begun !== 0) throw new Error('no transaction began')
    await connection.query('UPDATE reel SET metres = metres - 1 WHERE id = 1')
    const refused = await connection.query('/* once=other */ UPDATE reel SET metres = 0').catch((err: Error) => err.message)
    if (!/put the key on BEGIN/.test(String(refused))) throw new Error(`a key inside of a transaction: ${refused}`)
    await connection.query('UPDATE reel SET metres = metres - 1 WHERE id = 1')
    await connection.query('COMMIT')
  })
}

const ALREADY_DONE = 1586

async function connect (proxy: number): Promise<Connection> {
  const connection = await connectCaller(stage, proxy)
  connection.on('error', () => undefined)
  open.push(connection)
  return connection
}

/** Repeats an act that may be refused while the system starts or a primary is replaced. */
async function until (act: () => Promise<void>): Promise<void> {
  for (;;) {
    if (await act().then(() => true, () => false)) return
    await new Promise(resolve => { setTimeout(resolve, 20) })
  }
}

async function metres (): Promise<number> {
  let rows: RowDataPacket[] = []
  await until(async () => { [rows] = await (await connect(2)).query<RowDataPacket[]>('/* class=urgent read=crimp */ SELECT metres FROM reel WHERE id = 1') })
  return rows[0]!.metres as number
}
