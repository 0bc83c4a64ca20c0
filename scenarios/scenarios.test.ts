/** All scripts and some random mixes, with fixed seeds, in virtual time. */

import { existsSync, readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { randomMix } from './mix.ts'
import { readScripts } from './scripts.ts'
import { runScript } from './world/run.ts'

const KNOWN_RED = 'KNOWN-RED.txt'
const MIXES = [1, 2, 3]

const scripts = readScripts('scenarios')
/** Scripts that show a fault of the product that isn't mended yet: run and printed, and passed over. */
const red = existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, 'utf8').split('\n') : []

async function expectRun (name: string, script: Parameters<typeof runScript>[0]): Promise<void> {
  const { failures, breaches } = await runScript(script)
  const isRed = red.some(line => line.startsWith(`scenarios/${name},`))
  if (!isRed) return expect([...failures, ...breaches]).toEqual([])
  process.stdout.write(`known red: ${name} (seed ${script.seed})\n${[...failures, ...breaches].join('\n')}\n`)
  expect(failures, `passes now; take it off ${KNOWN_RED}`).not.toEqual([])
}

describe('scripts', () => {
  it.each([...scripts])('%s', expectRun)
})

describe('random mixes', () => {
  it.each(MIXES)('seed %i', async seed => await expectRun(`mix-${seed}`, randomMix(seed)))
})

it('gives the same trace for the same seed, and another for another', async () => {
  const script = scripts.get('data-centre-cut')!
  const [a, b, c] = [await runScript(script), await runScript(script), await runScript(script, script.seed + 1)]
  expect(a.trace === b.trace).toBe(true)
  expect(a.trace === c.trace).toBe(false)
  expect(a.trace).toMatch(/log \S+ promoted/)
})
