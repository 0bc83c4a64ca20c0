/** Slopes of the pure parts of control: sessions, samples, the failover monitor and the placement of slots. */

import { create, toBinary } from '@bufbuild/protobuf'
import { BatchSchema, FrameSchema } from '../src/gen/peer_pb.ts'
import { Monitor } from '../src/core/failover/monitor.ts'
import { Group } from '../src/core/group/group.ts'
import { Sample } from '../src/core/group/sample.ts'
import { TermHistory } from '../src/core/termhistory.ts'
import type { DataCentreId } from '../src/core/id/datacentre.ts'
import type { EndpointId } from '../src/core/id/endpoint.ts'
import type { GroupId } from '../src/core/id/group.ts'
import type { HostId } from '../src/core/id/host.ts'
import type { Instant } from '../src/core/id/instant.ts'
import type { Position } from '../src/core/id/position.ts'
import type { SessionId } from '../src/core/id/session.ts'
import type { Term } from '../src/core/id/term.ts'
import { Placement } from '../src/core/membership/placement.ts'
import { Session } from '../src/core/session/session.ts'
import { SessionTable } from '../src/core/session/sessiontable.ts'
import { Token } from '../src/core/token.ts'
import { failoverTimings } from '../src/shell/endpoint/failovertimings.ts'
import { sampleFrame } from '../src/shell/peer/sampleframe.ts'
import type { Benchmark } from './benchmark.ts'

const SESSIONS = [2150, 10_000, 50_000] as const
const HOSTS = [500, 1000, 2000] as const
const STEPS = [10_000, 30_000, 100_000] as const
const PLACEMENTS = 300
const ENDPOINTS = ['shop-1', 'shop-2', 'shop-3'] as unknown as readonly EndpointId[]
const PACE = failoverTimings({ pace: { misses: 2, rankDelayMs: 150, roundMs: 500, jitterMs: 100 }, probeMs: 100 })

export const control: Benchmark = {
  name: 'control',
  bounds: [{ figure: 'bytes of a sample in a batch of its own', atMost: 150 }],
  async run () {
    const figures: Array<readonly [string, number]> = []
    for (const count of SESSIONS) figures.push([`heap bytes a session at ${count}`, sessionBytes(count)])
    for (const count of STEPS) figures.push([`microseconds a probe's answer in the monitor at ${count}`, monitorMicros(count)])
    for (const count of STEPS) figures.push([`microseconds to encode and decode a sample at ${count}`, frameMicros(count)])
    for (const count of HOSTS) figures.push([`microseconds to place an endpoint at ${count} hosts`, placementMicros(count)])
    figures.push(['bytes of a sample in a batch of its own', frameBytes()])
    return Object.fromEntries(figures)
  }
}

function sessionBytes (count: number): number {
  const before = heap()
  const sessions = SessionTable.create(count)
  for (let i = 0; i < count; i++) {
    const id = `station-${i}` as SessionId
    sessions.set(Session.create(id).with('shop' as GroupId, Token.of(3 as Term, i as Position)))
  }
  const bytes = (heap() - before) / count
  if (sessions.size !== count) throw new Error('sessions were evicted')
  return bytes
}

function monitorMicros (count: number): number {
  let monitor = Monitor.create(Group.of('shop' as GroupId, ENDPOINTS), ENDPOINTS[0]!, 0, PACE, 0 as Instant)
  return micros(count, i => {
    monitor = monitor.step({ kind: 'sampled', sample: sampleOf(i) }, i as Instant, 0.5).monitor
  })
}

function frameMicros (count: number): number {
  return micros(count, i => {
    sampleFrame.decode(sampleFrame.encode(sampleOf(i)), i as Instant)
  })
}

function placementMicros (count: number): number {
  const hosts = Array.from({ length: count }, (_, i) => ({ id: `host-${i}` as HostId, dataCentre: `dc-${i % 8}` as DataCentreId }))
  return micros(PLACEMENTS, i => {
    Placement.empty.with(hosts).hosts(`booking-${i}` as EndpointId, 2)
  })
}

function frameBytes (): number {
  const frame = create(FrameSchema, { body: { case: 'sample', value: sampleFrame.encode(sampleOf(1_000_000)) } })
  return toBinary(BatchSchema, create(BatchSchema, { frames: [frame] })).length
}

function sampleOf (i: number): Sample {
  return Sample.of({
    endpoint: ENDPOINTS[i % ENDPOINTS.length]!,
    role: i % ENDPOINTS.length === 0 ? 'primary' : 'replica',
    term: 3 as Term,
    lastTerm: 3 as Term,
    received: i as Position,
    applied: i as Position,
    history: TermHistory.of([{ term: 1 as Term, position: 0 as Position }, { term: 3 as Term, position: 7 as Position }]),
    at: i as Instant,
    queued: 0,
    reachable: true
  })
}

/** Mean processor time of a call. */
function micros (count: number, act: (i: number) => void): number {
  const began = process.cpuUsage()
  for (let i = 0; i < count; i++) act(i)
  const { user, system } = process.cpuUsage(began)
  return (user + system) / count
}

function heap (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}
