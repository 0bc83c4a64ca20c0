/** Bundles the product and its stand-ins into dist/, a file each. */

import { build } from 'esbuild'

const common = { bundle: true, platform: 'node', target: 'node20', logLevel: 'warning' }

await build({ ...common, format: 'cjs', entryPoints: ['src/cli/main.ts'], outfile: 'dist/agatepond.cjs' })
await build({
  ...common,
  format: 'esm',
  packages: 'external',
  outExtension: { '.js': '.mjs' },
  outdir: 'dist',
  entryPoints: {
    'standin-platform': 'standin/platform/main.ts',
    'standin-endpoint': 'standin/endpoint/main.ts',
    demo: 'demo/main.ts',
    scenarios: 'scenarios/main.ts'
  }
})
