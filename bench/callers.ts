/** What callers' connections and statements cost one proxy: 2,150 real connections, and reads at three rates. */

import { createConnection, type Connection } from 'mysql2/promise'
import { Stage } from '../standin/stage.ts'
import type { Benchmark } from './benchmark.ts'
import { scrape } from './scrape.ts'

/** 4.3 million connections over 2,000 nodes are 2,150. */
const CONNECTIONS = [500, 1000, 2150] as const
const STATEMENTS = [2000, 5000, 10_000] as const
const OPENERS = 50
const READERS = 32
const SETTLE_MS = 1500

export const callers: Benchmark = {
  name: 'callers',
  bounds: [{ figure: 'connections open', atLeast: 2150 }],
  async run () {
    const stage = await Stage.start({ proxies: 1 })
    const open: Connection[] = []
    try {
      return Object.fromEntries([...await connections(stage, open), ...await statements(stage, open)])
    } finally {
      for (const connection of open) connection.destroy()
      await stage.stop()
    }
  }
}

async function connections (stage: Stage, open: Connection[]): Promise<ReadonlyArray<readonly [string, number]>> {
  const figures: Array<readonly [string, number]> = []
  const first = await settled(stage)
  figures.push(['resident MB without callers', first.residentBytes / 2 ** 20])
  for (const count of CONNECTIONS) {
    const began = open.length
    const before = await settled(stage)
    while (open.length < count) {
      const few = Math.min(OPENERS, count - open.length)
      open.push(...await Promise.all(Array.from({ length: few }, async () => await connect(stage))))
    }
    const after = await settled(stage)
    figures.push(
      [`resident KB a connection up to ${count}`, (after.residentBytes - first.residentBytes) / count / 1024],
      [`heap KB a connection up to ${count}`, (after.heapBytes - first.heapBytes) / count / 1024],
      [`processor ms to open a connection up to ${count}`, (after.cpuSeconds - before.cpuSeconds) * 1000 / (count - began)]
    )
  }
  figures.push(['connections open', open.length])
  return figures
}

/** Reads by 32 of the open connections, each waiting for its answer. */
async function statements (stage: Stage, open: readonly Connection[]): Promise<ReadonlyArray<readonly [string, number]>> {
  const figures: Array<readonly [string, number]> = []
  await open[0]!.query('CREATE TABLE crimp (terminal TEXT PRIMARY KEY, passed INTEGER)')
  await open[0]!.query("INSERT INTO crimp VALUES ('T1', 1)")
  for (const count of STATEMENTS) {
    const before = scrape(await stage.metrics(0))
    let left = count
    await Promise.all(open.slice(0, READERS).map(async connection => {
      while (left-- > 0) await connection.query("SELECT passed FROM crimp WHERE terminal = 'T1'")
    }))
    const after = scrape(await stage.metrics(0))
    figures.push([`processor microseconds a read over ${count}`, (after.cpuSeconds - before.cpuSeconds) * 1e6 / count])
  }
  return figures
}

async function connect (stage: Stage): Promise<Connection> {
  const { callers: port } = stage.proxies[0]!
  return await createConnection({ host: '127.0.0.1', port, user: 'app', password: stage.password, database: 'shop' })
}

async function settled (stage: Stage): Promise<ReturnType<typeof scrape>> {
  await new Promise(resolve => { setTimeout(resolve, SETTLE_MS) })
  return scrape(await stage.metrics(0))
}
