/**
 * What audit records cost: bytes in the store and processor time for each
 * request, at three sizes of batch, over a mix of reads and writes.
 */

import { gzipSync, gunzipSync } from 'node:zlib'
import { Batcher } from '../src/core/audit/batcher.ts'
import { fingerprint } from '../src/core/audit/fingerprint.ts'
import { AuditId } from '../src/core/audit/id.ts'
import { Page } from '../src/core/audit/page.ts'
import { AuditRecord } from '../src/core/audit/record.ts'
import type { HostId } from '../src/core/id/host.ts'
import { digest } from '../src/shell/audit/digest.ts'
import type { Benchmark } from './benchmark.ts'

const HOST = 'host-1' as HostId
const INCARNATION = '0123456789ab'
const REQUESTS = 20_000
const SIZES = [100, 1000, 10_000]
const READ_SHARE = 4

export const audit: Benchmark = {
  name: 'audit',
  bounds: [
    { figure: 'bytesPerRequest100', atMost: 70 },
    { figure: 'bytesPerRequest1000', atMost: 62 },
    { figure: 'bytesPerRequest10000', atMost: 62 },
    { figure: 'charactersPerRequest', atMost: 600 }
  ],
  async run () {
    const figures: Record<string, number> = {}
    measure(SIZES[0]!)
    for (const size of SIZES) {
      const { bytes, characters, recordMicros, compressMicros } = measure(size)
      figures[`bytesPerRequest${size}`] = bytes
      figures[`recordMicros${size}`] = recordMicros
      figures[`compressMicros${size}`] = compressMicros
      figures.charactersPerRequest = characters
    }
    return figures
  }
}

/** Figures for each request; the first part of the time is spent on the loop, the second on a thread of zlib. */
function measure (size: number): { bytes: number, characters: number, recordMicros: number, compressMicros: number } {
  const limits = { records: size, bytes: Infinity, ageMs: Infinity, bufferBytes: Infinity }
  const batcher = Batcher.create({ host: HOST, incarnation: INCARNATION, digest, limits })
  const texts: string[] = []
  const began = process.cpuUsage()
  for (let i = 1; i <= REQUESTS; i++) {
    const batch = batcher.add(record(i), i)
    if (batch === undefined) continue
    texts.push(batch.text)
    batcher.setBatchBytes(batch.fields.sequence, 0)
  }
  const recorded = process.cpuUsage(began)
  const bodies = texts.map(text => gzipSync(text))
  const all = process.cpuUsage(began)
  for (const body of bodies) check(body)
  const characters = texts.reduce((sum, text) => sum + text.length, 0)
  return {
    bytes: bodies.reduce((sum, body) => sum + body.length, 0) / REQUESTS,
    characters: characters / REQUESTS,
    recordMicros: recorded.user / REQUESTS,
    compressMicros: (all.user - recorded.user) / REQUESTS
  }
}

/** Figures of batches that can't be read back would mean nothing. */
function check (body: Buffer): void {
  const page = Page.parse(digest, gunzipSync(body).toString())
  if (page.isErr() || page.value.fields.problems.length > 0) throw new Error('a batch of the benchmark does not hold')
}

function record (i: number): AuditRecord {
  const isRead = i % READ_SHARE !== 0
  const at = 1_700_000_000_000 + i
  const token = `3:${1000 + i}`
  const sql = isRead
    ? `SELECT passed, station FROM crimp WHERE terminal = 'T${i}'`
    : `/* class=urgent */ INSERT INTO crimp VALUES ('T${i}', 1, ${i % 40})`
  return AuditRecord.begin({
    id: AuditId.of(HOST, INCARNATION, at, i).toString(),
    at,
    session: `session-${i * 7919 % 500}`,
    caller: 'app',
    pool: 'main',
    group: `shop-${i % 3}`,
    config: 12,
    kind: isRead ? 'read' : 'write',
    freshness: isRead ? 'session' : undefined,
    class: isRead ? 'normal' : 'urgent',
    statement: fingerprint(sql),
    deadlineMs: 5000
  }).withAttempt({
    endpoint: `shop-${i % 3}-${i % 2 + 1}`,
    access: isRead ? 'read' : 'write',
    startMs: 0.1,
    tookMs: i * 31 % 100 / 10,
    outcome: 'done',
    reason: '',
    token: isRead ? undefined : token,
    evidence: isRead ? { promise: 'readYourWrites', token, applied: `3:${1002 + i}` } : { promise: 'acknowledged', token }
  }).withOutcome('done', i * 31 % 100 / 10 + 0.2)
}
