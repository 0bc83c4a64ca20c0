import { createConnection, type Connection, type ResultSetHeader, type RowDataPacket } from 'mysql2/promise'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { Stage } from '../standin/stage.ts'

let stage: Stage
const open: Connection[] = []

beforeAll(async () => {
  stage = await Stage.start({ proxies: 3 })
  const setup = await connect(0)
  await until(async () => { await setup.query('CREATE TABLE IF NOT EXISTS reel (id INTEGER PRIMARY KEY, metres INTEGER)') })
  await setup.query('INSERT INTO reel VALUES (1, 100)')
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
    const [first] = await (await connect(0)).query<ResultSetHeader>(sql)
    const [second] = await (await connect(1)).query<ResultSetHeader>(sql)
    expect([first.affectedRows, second.affectedRows, await metres()]).toEqual([1, 1, 90])
  })

  it('is refused when the key belongs to another statement', async () => {
    const sql = '/* once=kit-1 */ UPDATE reel SET metres = metres - 20 WHERE id = 1'
    await expect((await connect(2)).query(sql)).rejects.toThrow(/not run: the idempotency key belongs to another statement/)
    expect(await metres()).toBe(90)
  })

  it('tells its outcome later', async () => {
    const [settled] = await (await connect(1)).query<ResultSetHeader>("SHOW AGATEPOND OUTCOME 'kit-1'")
    expect(settled.affectedRows).toBe(1)
  })

  it('that is asked for before it ran never runs', async () => {
    const connection = await connect(1)
    await expect(connection.query("SHOW AGATEPOND OUTCOME 'kit-2'")).rejects.toThrow(/not run: the idempotency key was settled/)
    await expect(connection.query('/* once=kit-2 */ UPDATE reel SET metres = 0')).rejects.toThrow(/settled as not run/)
    expect(await metres()).toBe(90)
  })

  it('covers a whole transaction when it is on BEGIN', async () => {
    const connection = await connect(0)
    await connection.query('/* once=kit-3 */ BEGIN')
    await connection.query('UPDATE reel SET metres = metres - 1 WHERE id = 1')
    await expect(connection.query('/* once=other */ UPDATE reel SET metres = 0')).rejects.toThrow(/put the key on BEGIN/)
    await connection.query('UPDATE reel SET metres = metres - 1 WHERE id = 1')
    await connection.query('COMMIT')
    await expect((await connect(1)).query('/* once=kit-3 */ BEGIN')).rejects.toThrow(/was committed before and its effect stands/)
    expect(await metres()).toBe(88)
  })

  it('can be used again when its transaction was rolled back', async () => {
    const connection = await connect(0)
    await connection.query('/* once=kit-4 */ BEGIN')
    await connection.query('ROLLBACK')
    await connection.query('/* once=kit-4 */ BEGIN')
    await connection.query('ROLLBACK')
  })
})

async function connect (proxy: number): Promise<Connection> {
  const connection = await createConnection({
    host: '127.0.0.1', port: stage.proxies[proxy]!.callers, user: 'app', password: stage.password, database: 'shop'
  })
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
  const [rows] = await (await connect(2)).query<RowDataPacket[]>('/* class=urgent read=crimp */ SELECT metres FROM reel WHERE id = 1')
  return rows[0]!.metres as number
}
