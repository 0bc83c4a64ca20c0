/** Failovers of real processes: proxies and stand-in endpoints, with callers that write all the time. */

import type { RowDataPacket } from 'mysql2/promise'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { Stage } from '../standin/stage.ts'
import { Callers } from './failover/callers.ts'
import { leave } from './failover/leave.ts'

const PROXIES = [0, 1, 2]
const SOME_WRITES = 30

let stage: Stage
let callers: Callers
let primary: string

beforeEach(async () => {
  stage = await Stage.start({ proxies: 3 })
  callers = await Callers.start(stage, PROXIES)
  await callers.progress(SOME_WRITES)
  primary = await stage.primary('shop')
})

afterEach(async () => await stage.stop())

describe('every acknowledged write is in the final primary, none twice', () => {
  // A primary's server dies under load. Results already shown as stored must
  // be there after the failover, and a request is never run again by a proxy.
  it('primary killed while the store is down', async () => {
    await stage.faults({ down: true })
    await signal('SIGKILL')
    await replaced()
    await finish()
  })

  // The primary's host stalls and comes back after its replacement, with
  // statements still in its sockets. It runs them, and must acknowledge none.
  it('primary frozen and woken', async () => {
    await signal('SIGSTOP')
    await replaced()
    await signal('SIGCONT')
    await state(primary, 'replica')
    await finish()
  })

  // A partition separates the primary from its replicas, but not from the
  // proxies: callers keep reaching it. Their writes there must not be
  // acknowledged, and strict reads must not show its old state.
  it('primary cut off from its replicas', async () => {
    await stage.endpoint(primary, { cut: true })
    const reader = await callers.connect(0)
    await replaced()
    const before = callers.count
    const [rows] = await reader.query<RowDataPacket[]>('/* agatepond read=crimp */ SELECT COUNT(*) AS n FROM crimp')
    expect(Number(rows[0]!.n)).toBeGreaterThanOrEqual(before)
    await stage.endpoint(primary, { cut: false })
    await state(primary, 'replica')
    await finish()
  })

  // A proxy stalls before the primary dies and wakes up after the failover,
  // still believing in the old primary.
  it('a proxy frozen through the failover', async () => {
    stage.proxies[0]!.child!.signal('SIGSTOP')
    await signal('SIGKILL')
    await replaced()
    stage.proxies[0]!.child!.signal('SIGCONT')
    await finish()
  })

  // Operators mark the primary's server as leaving. A replica that has all of
  // its writes takes over, and nothing is refused for good or lost.
  it('primary marked as leaving', async () => {
    await leave(stage, primary)
    await replaced()
    await state(primary, 'replica')
    await finish()
  })
})

async function signal (name: NodeJS.Signals): Promise<void> {
  const { child } = stage.endpoints.find(one => one.id === primary)!
  if (name === 'SIGKILL') await child.end(name)
  else child.signal(name)
}

/** Resolves when another primary acknowledges writes. */
async function replaced (): Promise<void> {
  for (;;) {
    const others = stage.endpoints.filter(one => one.id !== primary).map(async one => await stage.endpoint(one.id))
    if ((await Promise.all(others)).some(one => one.role === 'primary')) break
    await pause()
  }
  await callers.progress(SOME_WRITES)
}

async function state (endpoint: string, role: string): Promise<void> {
  while ((await stage.endpoint(endpoint)).role !== role) await pause()
}

async function finish (): Promise<void> {
  await callers.progress(SOME_WRITES)
  const { acknowledged } = await callers.stop()
  expect(acknowledged.length).toBeGreaterThan(0)
  expect(await callers.faults(1)).toEqual([])
}

async function pause (): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, 20) })
}
