/** Guards against a stalled log reader blocking the process. */

import { spawn } from 'node:child_process'
import { expect, it } from 'vitest'
import { Log } from './log.ts'

/** More than the pipe and the log's own buffer hold together. */
const LINES = 20_000
const FLUSH_MS = 20

it('writes and flushes without blocking while nobody reads', async () => {
  // With a full pipe, a blocking write would stall requests until the log collector reads again.
  const reader = spawn('sleep', ['60'], { stdio: ['pipe', 'ignore', 'ignore'] })
  const { fd } = (reader.stdin as unknown as { _handle: { fd: number } })._handle
  const log = Log.buffered('h1', fd)
  for (let i = 0; i < LINES; i++) log.write('linesDropped', { dropped: i, why: 'x'.repeat(100) })
  await new Promise(resolve => setImmediate(resolve))
  await log.flush(FLUSH_MS)
  expect(reader.exitCode).toBeNull()
  reader.kill()
})
