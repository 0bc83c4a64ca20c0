import { readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Connection } from 'mysql2/promise'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { S3Store } from '../src/shell/platform/s3store.ts'
import { connectCaller } from '../standin/caller.ts'
import { Stage } from '../standin/stage.ts'

const SESSION = 'line-7'
const ID = /\(request ([\w.-]+)\)/

describe('audit records of whole processes', () => {
  let stage: Stage
  let store: S3Store
  let refused = ''
  /** Requests of the time in which the store was down. */
  const outage: string[] = []
  const stop = new AbortController()

  beforeAll(async () => {
    process.env.AWS_ACCESS_KEY_ID = 'local'
    process.env.AWS_SECRET_ACCESS_KEY = 'local'
    stage = await Stage.start({ proxies: 2, extraSettings: '[audit]\nage = "100ms"\nbuffer = 20000' })
    const url = /objectStore = "(.*)"/.exec(readFileSync(stage.proxies[0]!.settings, 'utf8'))![1]!
    store = S3Store.open({ url, bucket: 'agatepond', region: 'local', timeoutMs: 5000 }, stop.signal)
    await tellRequests()
  })
  afterAll(async () => {
    stop.abort()
    await stage.stop()
  })

  /** A session writes on one proxy and reads on the other; a request under a key is sent on both; one statement is refused; then the store fails; then all end. */
  async function tellRequests (): Promise<void> {
    const [a, b] = await Promise.all([connect(0), connect(1)])
    await until(async () => await a.query('CREATE TABLE IF NOT EXISTS crimp (terminal TEXT PRIMARY KEY, passed INTEGER)').then(() => true, () => false))
    await a.query("INSERT INTO crimp VALUES ('secret-terminal', 1)")
    await until(async () => await b.query('SELECT * FROM crimp').then(() => true, () => false))
    for (let i = 0; i < 20; i++) {
      await pause(20)
      await b.query("SELECT * FROM crimp WHERE terminal = 'secret-terminal'")
    }
    for (const one of [a, b]) await one.query("/* once=kit-17 */ INSERT INTO crimp VALUES ('secret-kit', 1)")
    refused = await refusedId(a)
    await until(async () => (await stage.cli('explain', refused)).code === 0)
    await stage.faults({ down: true })
    await until(async () => {
      for (let i = 0; i < 40; i++) outage.push(await refusedId(a))
      return await metric('agatepond_audit_dropped_total') > 0
    })
    await stage.faults({ down: false })
    await until(async () => await metric('agatepond_audit_waiting_bytes') === 0)
    a.destroy()
    b.destroy()
    await Promise.all(stage.proxies.map(async proxy => await proxy.child!.end('SIGTERM')))
  }

  async function connect (proxy: number): Promise<Connection> {
    return await connectCaller(stage, proxy, { connectAttributes: { agatepond_session: SESSION } })
  }

  async function refusedId (connection: Connection): Promise<string> {
    const err = await connection.query("SELECT 'secret-value' FROM nowhere").then(() => undefined, (err: Error) => err)
    return ID.exec(String(err?.message))![1]!
  }

  async function metric (name: string): Promise<number> {
    return Number(new RegExp(`^${name} (.*)$`, 'm').exec(await stage.metrics(0))?.[1])
  }

  it('explains a request by the id that its error named, without its values', async () => {
    const told = await stage.cli('explain', refused)
    expect(told).toMatchObject({ code: 0 })
    expect(told.stdout).toContain('The endpoint refused it; it had no effect.')
    expect(told.stdout).toContain('Its shape: SELECT ? FROM nowhere')
    const json = JSON.parse((await stage.cli('explain', '--json', refused)).stdout) as { session: string, outcome: string }
    expect(json).toMatchObject({ session: SESSION, outcome: 'failed' })
  })

  it('lists a session over both proxies, and keeps no value of a statement', async () => {
    const { stdout } = await stage.cli('explain', '--session', SESSION, '--json')
    const records = stdout.trim().split('\n').map(line => JSON.parse(line) as { id: string })
    expect(new Set(records.map(record => record.id.split('.')[0]))).toEqual(new Set(['host-1', 'host-2']))
    expect(stdout).not.toMatch(/secret/)
  })

  // An operator's regulator asks for proof long after the proxies are gone. Only the store is left;
  // the chains and the evidence in the records have to be enough.
  it('shows read-your-writes and at most once from the records alone, with the chains closed', async () => {
    const report = JSON.parse((await stage.cli('explain', '--verify', '--json')).stdout) as { kept: { readYourWrites: number, atMostOnce: number }, problems: string[], notes: string[] }
    expect(report.problems).toEqual([])
    expect(report.notes).toEqual([])
    expect(report.kept.readYourWrites).toBeGreaterThan(0)
    expect(report.kept.atMostOnce).toBe(1)
  })

  // The store is down for longer than memory holds; an operator later asks for a request of that time.
  it('says of a request whose record was dropped that it was', async () => {
    const { stdout } = await stage.cli('explain', '--session', SESSION, '--json')
    const dropped = outage.find(id => !stdout.includes(`"${id}"`))!
    const told = await stage.cli('explain', dropped)
    expect(told.code).toBe(1)
    expect(told.stderr).toMatch(/no record: the process dropped \d+ records around that time/)
  })

  it('says of an unknown id that it is unknown', async () => {
    expect(await stage.cli('explain', refused.replace(/[^.]+$/, 'zzzz'))).toMatchObject({ code: 1, stderr: expect.stringContaining('no record') })
    expect((await stage.cli('explain', 'host-9.0123456789ab.1.1')).stderr).toContain('the store has no batch of host-9')
    expect((await stage.cli('explain', 'nonsense')).code).toBe(2)
  })

  // Someone with access to the store damages, removes or exchanges a batch.
  it('finds out a damaged, a removed and an exchanged batch', async () => {
    const listed = JSON.stringify(await keys())
    const key = (await stage.cli('explain', refused)).stdout.split('\n')[0]!.split(' from ')[1]!
    const body = (await store.get(key))!
    const other = (await keys()).find(one => one !== key && one.includes('/host-1/'))!
    await store.put(key, body.slice(0, 40))
    expect(await stage.cli('explain', refused)).toMatchObject({ code: 1, stderr: expect.stringContaining('the batch is damaged') })
    expect((await stage.cli('explain', '--verify')).code).toBe(1)
    await store.put(key, (await store.get(other))!)
    expect(await stage.cli('explain', '--verify')).toMatchObject({ code: 1, stdout: expect.stringContaining('batches were exchanged') })
    await fetch(`${await urlOf()}/agatepond/${key}`, { method: 'DELETE' })
    expect(await stage.cli('explain', refused)).toMatchObject({ code: 1, stderr: expect.stringContaining('is missing from the store') })
    expect(await stage.cli('explain', '--verify')).toMatchObject({ code: 1, stdout: expect.stringContaining('1 before it missing') })
    await store.put(key, body)
    expect(JSON.stringify(await keys())).toBe(listed)
    expect((await stage.cli('explain', '--verify')).code).toBe(0)
  })

  it('reports the burn of service levels, as a table, JSON and a page', async () => {
    expect(await stage.cli('burn')).toMatchObject({ code: 1, stderr: expect.stringContaining('no service levels') })
    const level = { name: 'staleness', pool: 'main', measure: 'stalenessKept', target: 0.999 }
    const others = [{ ...level, name: 'writes', measure: 'writesSucceed' }, { ...level, name: 'urgent', measure: 'urgentInTime', within: '1s' }]
    expect((await stage.patch(1, { ...stage.config(), serviceLevels: [level, ...others] })).code).toBe(0)
    const page = join(tmpdir(), `agatepond-burn-${process.pid}.html`)
    const told = await stage.cli('burn', '--html', page)
    expect(told.code).toBe(0)
    expect(told.stdout).toMatch(/^staleness +\| main \| 99.9% +\| 5 min \* +\| +[1-9]\d* \| +0 \| +0.00 \(at most [\d.]+\) \| +100%$/m)
    expect(told.stdout).toMatch(/^urgent .* no data \(at most [\d.]+\) \| +no data$/m)
    expect(readFileSync(page, 'utf8')).toContain('</svg>')
    rmSync(page)
    const json = JSON.parse((await stage.cli('burn', '--json', '--most', '1')).stdout) as { batchesRead: number, batchesThere: number }
    expect(json.batchesRead).toBe(1)
    expect(json.batchesThere).toBeGreaterThan(1)
  })

  async function keys (): Promise<readonly string[]> {
    return await store.list('audit/', '', 1000)
  }

  async function urlOf (): Promise<string> {
    return /objectStore = "(.*)"/.exec(readFileSync(stage.proxies[0]!.settings, 'utf8'))![1]!
  }
})

async function until (holds: () => Promise<boolean>): Promise<void> {
  while (!await holds()) await pause(50)
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}
