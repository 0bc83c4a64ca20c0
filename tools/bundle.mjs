/** Bundles the product and its stand-ins into dist/, a file each. */

import { readFile } from 'node:fs/promises'
import { build } from 'esbuild'

/**
 * mysql2 tries to load a colouring package for its debug output, under a name
 * that it builds at run time, and goes on without it. In a single executable
 * that try prints a warning at every start.
 */
const noColours = {
  name: 'no-colours',
  setup (it) {
    it.onLoad({ filter: /mysql2[\\/]lib[\\/]helpers\.js$/ }, async ({ path }) => {
      const source = await readFile(path, 'utf8')
      const contents = source.replace(/require\(`cardinal[^)]*\)/, '{ highlight: text => text }')
      if (contents === source) throw new Error('mysql2 no longer loads its colouring package; remove this step')
      return { contents }
    })
  }
}

const common = { bundle: true, platform: 'node', target: 'node20', logLevel: 'warning' }

await build({ ...common, format: 'cjs', plugins: [noColours], entryPoints: ['src/cli/main.ts'], outfile: 'dist/agatepond.cjs' })
await build({
  ...common,
  format: 'esm',
  packages: 'external',
  outExtension: { '.js': '.mjs' },
  outdir: 'dist',
  entryPoints: {
    'standin-platform': 'standin/platform/main.ts',
    'standin-endpoint': 'standin/endpoint/main.ts',
    bench: 'bench/main.ts',
    'bench-loader': 'bench/loader.ts',
    demo: 'demo/main.ts',
    scenarios: 'scenarios/main.ts'
  }
})
