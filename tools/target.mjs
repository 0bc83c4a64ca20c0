/** Bundles the program for the users' platform into target/, one file without the clients of other platforms: start-up is charged. The operators' commands are a file of their own. */

import { build } from 'esbuild'

await build({
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  logLevel: 'warning',
  outExtension: { '.js': '.cjs' },
  outdir: 'target',
  entryPoints: { agatepond: 'platform/main.ts', tool: 'platform/tool.ts' }
})
