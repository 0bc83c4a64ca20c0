/** `npm run scenarios`: runs scripts and prints a table. */

import { readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { parseScript } from './language/parse.ts'
import { runScript } from './world/run.ts'

for (const name of process.argv.slice(2)) {
  const script = parseScript(readFileSync(name, 'utf8')).match(v => v, e => { throw e })
  const began = performance.now()
  const report = await runScript(script)
  console.log(name, report.calls, (performance.now() - began).toFixed(0) + 'ms', report.figures)
  for (const f of report.failures) console.log(f)
  for (const f of report.stories) console.log(f)
  if (process.env.TRACE) writeFileSync(process.env.TRACE, report.trace)
}
void readdirSync
