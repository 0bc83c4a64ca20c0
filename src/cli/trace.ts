/** `agatepond trace`: prints the timeline of one request from the logs of several hosts. */

import { createInterface } from 'node:readline'
import { command, positional, string } from 'cmd-ts'
import { LogLine } from '../core/trace/logline.ts'
import { timelineOf } from '../core/trace/timeline.ts'
import { exitCodes } from './exitcodes.ts'

export const trace = command({
  name: 'trace',
  description: 'Prints what the logs on standard input tell of one request, over several hosts and in order.',
  examples: [{ description: 'Why a statement was refused', command: 'cat logs/*.json | agatepond trace 4f1c0a9e22b7d310' }],
  args: { id: positional({ type: string, displayName: 'id', description: 'the id of a statement or of a transaction' }) },
  handler: async ({ id }) => {
    const lines: LogLine[] = []
    let unparsed = 0
    for await (const text of createInterface({ input: process.stdin })) {
      const line = LogLine.parse(text)
      if (line === undefined) unparsed++
      else lines.push(line)
    }
    const timeline = timelineOf(id, lines)
    for (const text of timeline) process.stdout.write(`${text}\n`)
    if (unparsed > 0) process.stderr.write(`passed over ${unparsed} lines that are cut or not agatepond's\n`)
    if (timeline.length > 0) return
    process.stderr.write(`no line has the id ${id}; statements that end well are sampled, one in 64, and lines over the budget are dropped (event 6005)\n`)
    process.exit(exitCodes.refused)
  }
})
