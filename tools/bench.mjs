/** Runs one benchmark and prints its figures: `node tools/bench.mjs gossip`. */

import { spawnSync } from 'node:child_process'
import { build } from 'esbuild'

const name = process.argv[2]
const outfile = `dist/bench-${name}.mjs`
await build({
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  packages: 'external',
  logLevel: 'warning',
  entryPoints: [`bench/${name}.ts`],
  outfile
})
const program = `const [it] = Object.values(await import('./${outfile}')); console.log(JSON.stringify(await it.run(), undefined, 2)); process.exit()`
process.exitCode = spawnSync(process.execPath, ['--expose-gc', '--input-type=module', '-e', program], { stdio: 'inherit' }).status
