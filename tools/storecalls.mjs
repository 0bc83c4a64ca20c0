/**
 * Adds up the calls to the store that processes told in their logs (event 8040): `node tools/storecalls.mjs LOG...`.
 *
 * Each line holds what its process had called since its start, so the last one of each process counts, and lines that were lost cost nothing.
 * A process that was killed doesn't tell its last seconds: their number is said below the table.
 */

import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'

const TOLD = 8040
const NOTHING = 1

const last = new Map()
for (const log of process.argv.slice(2)) {
  for await (const line of createInterface({ input: createReadStream(log), crlfDelay: Infinity })) take(line)
}
if (last.size === 0) {
  process.stdout.write('no line 8040 in these logs; say which: node tools/storecalls.mjs LOG...\n')
  process.exit(NOTHING)
}

const sums = new Map()
for (const { calls } of last.values()) {
  for (const part of calls.split(', ')) {
    const [, kind, count] = /^(.+) (\d+)$/.exec(part) ?? []
    if (kind !== undefined) sums.set(kind, (sums.get(kind) ?? 0) + Number(count))
  }
}
const rows = [...sums].sort((a, b) => b[1] - a[1])
const killed = [...last.values()].filter(({ isLast }) => isLast !== true).length
for (const [kind, count] of rows) process.stdout.write(`${String(count).padStart(7)}  ${kind}\n`)
process.stdout.write(`${String(rows.reduce((sum, [, count]) => sum + count, 0)).padStart(7)}  in all, of ${last.size} processes, ${killed} of them without a last line\n`)

/** A platform may put its own words around our line. */
function take (line) {
  if (!line.includes(`"event":${TOLD}`)) return
  const from = line.indexOf('{')
  try {
    const { event, host, startedAt, calls, isLast } = JSON.parse(line.slice(from))
    if (event !== TOLD) return
    const process = `${host}/${startedAt}`
    if (isNewer(last.get(process), calls)) last.set(process, { calls, isLast })
  } catch {
    // Cut off by the end of its process; the line before stands for it.
  }
}

/** Logs of one process may come in any order. */
function isNewer (before, calls) {
  return before === undefined || sumOf(calls) >= sumOf(before.calls)
}

function sumOf (calls) {
  return [...calls.matchAll(/ (\d+)(?:,|$)/g)].reduce((sum, [, count]) => sum + Number(count), 0)
}
