/** That a reader of the log that stalls holds nothing up. */

import { spawn } from 'node:child_process'
import { expect, it } from 'vitest'
import { Log } from './log.ts'

/** More than a pipe and the log's own room take together. */
const LINES = 20_000
const FLUSH_MS = 20

it('writes on and ends while nobody reads', async () => {
  // Callers get no answers for as long as the collector of logs hangs.
  // The pipe to it fills, and the next line waits in the middle of a request until there is room.
  const reader = spawn('sleep', ['60'], { stdio: ['pipe', 'ignore', 'ignore'] })
  const { fd } = (reader.stdin as unknown as { _handle: { fd: number } })._handle
  const log = Log.buffered('h1', fd)
  for (let i = 0; i < LINES; i++) log.write('linesDropped', { dropped: i, why: 'x'.repeat(100) })
  await new Promise(resolve => setImmediate(resolve))
  await log.flush(FLUSH_MS)
  expect(reader.exitCode).toBeNull()
  reader.kill()
})
