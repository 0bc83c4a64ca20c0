/**
 * Requesters read items whose answers have many rows. See claim.txt. Exits with 1 if the processes of two hosts have each ended by
 * themselves three times, 0 if not, 2 if the case couldn't run.
 */

import { Stage } from '../lib-2/stage.mjs'

const WRITERS = 14
const READERS = Number(process.env.READERS ?? 8)
/** Rows of 64 KB in an answer. */
const ROWS = Number(process.env.ROWS ?? 256)
const MAX_MS = 80_000
const MIN_ENDS = 3
const MIN_HOSTS = 2

const stage = await Stage.start({ syncReplicas: 0 })
const isReady = await stage.startHosts(true)
const { programs, database, isTroubled } = stage
const worst = () => programs.ownEnds.filter(count => count >= MIN_ENDS).length
if (isReady) {
  programs.isRestarting = true
  database.rowsOf = item => isTroubled && item === 'all' ? ROWS : 1
  stage.startRequesters(WRITERS)
  await stage.pause(2000)
  stage.startReaders(READERS, 'all')
  const until = performance.now() + (isTroubled ? MAX_MS : 20_000)
  while (performance.now() < until && worst() < MIN_HOSTS) await stage.pause(100)
  await stage.stopRequesters()
}
stage.result(`processes that ended by themselves: ${JSON.stringify(programs.ips.map((_, i) => programs.ownEnds[i] ?? 0))}`)
const couldRun = isReady && stage.acknowledged.length > 0
stage.stop(import.meta.dirname)
process.exit(!couldRun ? 2 : worst() >= MIN_HOSTS ? 1 : 0)
