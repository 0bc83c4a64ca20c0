/** Bundles the program for the users' platform into target/, one file without the clients of other platforms: start-up is charged. */

import { build } from 'esbuild'

await build({
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  logLevel: 'warning',
  entryPoints: ['platform/main.ts'],
  outfile: 'target/agatepond.cjs'
})
