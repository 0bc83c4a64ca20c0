/** Makes dist/agatepond, a Node single executable, out of dist/agatepond.cjs. */

import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, writeFileSync } from 'node:fs'

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

writeFileSync('dist/sea.json', JSON.stringify({
  main: 'dist/agatepond.cjs', output: 'dist/agatepond.blob', disableExperimentalSEAWarning: true
}))
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'inherit' })
copyFileSync(process.execPath, 'dist/agatepond')
chmodSync('dist/agatepond', 0o755)
execFileSync(process.execPath, [
  'node_modules/postject/dist/cli.js', 'dist/agatepond', 'NODE_SEA_BLOB', 'dist/agatepond.blob', '--sentinel-fuse', FUSE
], { stdio: 'inherit' })
