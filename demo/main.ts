/** The demo: the whole path as separate processes, a few steps on it, and its table. */

import type { Connection, RowDataPacket } from 'mysql2/promise'
import { connectCaller } from '../standin/caller.ts'
import { Stage } from '../standin/stage.ts'

interface Row {
  readonly step: string
  readonly result: string
  readonly ms: number
}

const LAG_MS = 5
const SETTLE_MS = 400

const isKept = process.argv.includes('--keep')
const rows: Row[] = []
const stage = await Stage.start({ proxies: 3, lagMs: LAG_MS })
let isWhole = true
try {
  await takeSteps()
} catch (err) {
  isWhole = false
  rows.push({ step: 'stopped here', result: (err as Error).message, ms: 0 })
}
print()
if (isKept && isWhole) {
  const { callers } = stage.proxies[0]!
  process.stdout.write(`callers: mysql -h 127.0.0.1 -P ${callers} -u app -p${stage.password} shop   (Ctrl-C stops everything)\n`)
  await new Promise(resolve => process.once('SIGINT', resolve))
}
await stage.stop()
process.exitCode = isWhole ? 0 : 1

async function takeSteps (): Promise<void> {
  await settle()
  const [a, b] = await Promise.all([connect(0), connect(1)])
  await step('proxy A: create a table', async () => {
    await a.query('/* class=urgent */ CREATE TABLE crimp (terminal TEXT PRIMARY KEY, passed INTEGER)')
    return 'acknowledged'
  })
  await step('proxy A: write a crimp result', async () => {
    await a.query("INSERT INTO crimp VALUES ('T1', 1)")
    return 'acknowledged by two servers'
  })
  await settle()
  await step('proxy B: the same session reads its write', async () => {
    const [found] = await b.query<RowDataPacket[]>("SELECT passed FROM crimp WHERE terminal = 'T1'")
    expect(found.length === 1 && found[0]!.passed === 1, `got ${JSON.stringify(found)}`)
    expect(await replicaReads(1) >= 1, 'the read went to the primary')
    return 'seen, from a replica'
  })
  await step('proxy B: a prepared statement', async () => {
    const [found] = await b.execute<RowDataPacket[]>('SELECT passed FROM crimp WHERE terminal = ?', ['T1'])
    expect(found[0]?.passed === 1, `got ${JSON.stringify(found)}`)
    return 'same row'
  })
  await step('proxy A: a transaction', async () => {
    await a.beginTransaction()
    await a.query("INSERT INTO crimp VALUES ('T2', 0)")
    await a.query("UPDATE crimp SET passed = 1 WHERE terminal = 'T2'")
    await a.commit()
    return 'committed'
  })
  await settle()
  await step('proxy B: 200 reads', async () => {
    for (let i = 0; i < 200; i++) await b.query('SELECT * FROM crimp')
    const share = await replicaShare()
    return `share of replica reads ${(share * 100).toFixed(1)}%`
  })
  await step('kill the primary; writes resume', async () => {
    const primary = await stage.primary('shop')
    await stage.endpoints.find(one => one.id === primary)!.child.end('SIGKILL')
    const gap = await writeGap(a)
    return `failover gap ${gap.toFixed(0)} ms`
  })
  await step('proxy B: the session still reads its writes', async () => {
    const [found] = await b.query<RowDataPacket[]>("SELECT * FROM crimp WHERE terminal IN ('T1', 'T2')")
    expect(found.length === 2, `got ${JSON.stringify(found)}`)
    return 'both seen'
  })
  await Promise.all([a.end(), b.end()])
}

async function step (name: string, act: () => Promise<string>): Promise<void> {
  const began = performance.now()
  const result = await act()
  rows.push({ step: name, result, ms: performance.now() - began })
}

async function connect (proxy: number): Promise<Connection> {
  return await connectCaller(stage, proxy, { connectAttributes: { agatepond_session: 'line-7' } })
}

async function settle (): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, SETTLE_MS) })
}

/** Milliseconds from now until a write succeeds. */
async function writeGap (connection: Connection): Promise<number> {
  const began = performance.now()
  for (let i = 0; performance.now() - began < 10_000; i++) {
    const isDone = await connection.query(`INSERT INTO crimp VALUES ('gap-${i}', 1)`).then(() => true, () => false)
    if (isDone) return performance.now() - began
    await new Promise(resolve => { setTimeout(resolve, 10) })
  }
  throw new Error('no write succeeded within 10 s of the kill')
}

async function replicaReads (proxy: number): Promise<number> {
  return count(await stage.metrics(proxy), 'replica')
}

async function replicaShare (): Promise<number> {
  const texts = await Promise.all(stage.proxies.map(async (_, i) => await stage.metrics(i)))
  const replica = texts.reduce((sum, text) => sum + count(text, 'replica'), 0)
  const primary = texts.reduce((sum, text) => sum + count(text, 'primary'), 0)
  return replica / (replica + primary)
}

function count (text: string, place: string): number {
  const lines = text.split('\n').filter(line => line.startsWith('agatepond_requests_total{kind="read"') && line.includes(`place="${place}"`))
  return lines.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0)
}

function expect (holds: boolean, problem: string): void {
  if (!holds) throw new Error(problem)
}

function print (): void {
  const width = Math.max(...rows.map(row => row.step.length))
  const wide = Math.max(...rows.map(row => row.result.length))
  process.stdout.write(`${'step'.padEnd(width)} | ${'result'.padEnd(wide)} | time\n`)
  for (const row of rows) {
    process.stdout.write(`${row.step.padEnd(width)} | ${row.result.padEnd(wide)} | ${row.ms.toFixed(1)} ms\n`)
  }
}
