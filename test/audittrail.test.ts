import { describe, expect, it } from 'vitest'
import { AuditRecord } from '../src/core/audit/record.ts'
import type { Instant } from '../src/core/id/instant.ts'
import { RequestTrail } from '../src/shell/audit/trail.ts'
import { runRequest } from '../src/shell/caller/requestrun.ts'
import type { CallerContext } from '../src/shell/caller/context.ts'
import { Run_Access as RunAccess } from '../src/gen/peer_pb.ts'

const start = {
  id: 'host-1.0123456789ab.1.1', at: 1, session: 's', caller: 'app', pool: 'main', group: 'shop', config: 1, kind: 'write', class: 'normal', statement: 'X', deadlineMs: 1
}

describe('the trail of a request', () => {
  // An operator asks why a request timed out. The endpoint never answered, so the attempt
  // has no end of its own; a record without it would not even say where the request went.
  it('tells of an attempt that was given up before its answer', async () => {
    const kept: AuditRecord[] = []
    const now = (): Instant => performance.now() as Instant
    const began = now()
    const context = {
      now,
      audit: { begin: () => RequestTrail.begin({ record: AuditRecord.begin(start), began, now, onRecord: record => kept.push(record) }) },
      port: () => ({ run: () => ({ credit: () => undefined, cancel: () => undefined }) }),
      metrics: { requests: { inc: () => undefined } }
    } as unknown as CallerContext
    const left = new AbortController()
    const spec = { isRead: false, isOnce: false, isUrgent: false, place: 'alone', commitsItself: false, deadline: began + 60_000 as Instant } as const
    const identity = { caller: 'app', session: 's', group: { database: 'shop' } }
    const target = async () => {
      setTimeout(() => left.abort(), 5)
      return { kind: 'endpoint', endpoint: 'shop-1', access: RunAccess.WRITE, transaction: '' }
    }
    const done = await runRequest(context, { sql: 'X', kind: 'write', identity, hints: { fields: {} }, once: '', spec, isBinary: false, target } as unknown as Parameters<typeof runRequest>[1],
      { hasStarted: false } as unknown as Parameters<typeof runRequest>[2], left.signal)
    expect(done.message).toContain(start.id)
    expect(kept.map(({ fields }) => fields.attempts.map(one => [one.endpoint, one.access, one.outcome, one.reason]))).toEqual([[['shop-1', 'write', 'unknown', 'lost']]])
  })
})
