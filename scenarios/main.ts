/** `npm run scenarios`: runs the scripts and a random mix, and prints a table. */

import { writeFileSync } from 'node:fs'
import { command, flag, number, option, optional, restPositionals, run, string } from 'cmd-ts'
import type { Script } from './language/script.ts'
import { randomMix } from './mix.ts'
import { readScripts } from './scripts.ts'
import { tableOf } from './table.ts'
import { runScript } from './world/run.ts'

const FOLDER = 'scenarios'
const SEEDS = 1_000_000

const scenarios = command({
  name: 'scenarios',
  description: 'Runs scripted scenarios over the core in virtual time and checks what callers saw.',
  args: {
    seed: option({ type: optional(number), long: 'seed', description: 'the seed of the random mix, or of the scripts that are named' }),
    mixes: option({ type: number, long: 'mixes', defaultValue: () => 1, description: 'how many random mixes, with seeds that follow each other' }),
    trace: option({ type: optional(string), long: 'trace', description: 'a file for the trace of the last run' }),
    isQuiet: flag({ long: 'quiet', description: 'print no breaches' }),
    names: restPositionals({ type: string, displayName: 'name', description: 'scripts; all when there are none' })
  },
  handler: async ({ seed, mixes, trace, names, isQuiet }) => {
    const due = chosen(names, seed, mixes)
    const rows = []
    for (const { name, script } of due) {
      const report = await runScript(script)
      rows.push({ name, seed: script.seed, report: isQuiet ? { ...report, breaches: [] } : report })
      if (trace !== undefined) writeFileSync(trace, report.trace)
    }
    process.stdout.write(tableOf(rows))
    process.exitCode = rows.some(row => row.report.failures.length > 0) ? 1 : 0
  }
})

interface Due {
  readonly name: string
  readonly script: Script
}

function chosen (names: readonly string[], seed: number | undefined, mixes: number): readonly Due[] {
  const all = readScripts(FOLDER)
  if (names.length > 0) {
    return names.map(name => {
      const script = all.get(name)
      if (script === undefined) throw new Error(`no script "${name}"; there are ${[...all.keys()].join(', ')}`)
      return { name, script: { ...script, seed: seed ?? script.seed } }
    })
  }
  const first = seed ?? Date.now() % SEEDS
  const random = Array.from({ length: mixes }, (_, i) => ({ name: 'random mix', script: randomMix(first + i) }))
  if (seed !== undefined) return random
  return [...[...all].map(([name, script]) => ({ name, script })), ...random]
}

await run(scenarios, process.argv.slice(2))
