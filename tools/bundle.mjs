/** Bundles the product and its stand-ins into dist/, a file each. */

import { build } from 'esbuild'

/**
 * mysql2 tries to load a colouring package for its debug output and goes on
 * without it. In a single executable that try prints a warning at every start.
 */
const noColours = {
  name: 'no-colours',
  setup (it) {
    it.onResolve({ filter: /^cardinal$/ }, () => ({ path: 'cardinal', namespace: 'none' }))
    it.onLoad({ filter: /.*/, namespace: 'none' }, () => ({ contents: 'exports.highlight = text => text' }))
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
    demo: 'demo/main.ts'
  }
})
