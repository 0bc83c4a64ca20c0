/**
 * The entry of KNOWN-RED.txt on test/commitholders.test.ts, with real processes: one replica receives nothing, the other goes dark, all
 * processes are killed once it has left the directory, and then the primary goes dark. Exits with 1 if an acknowledged commit isn't in the log of the
 * server that is promoted, 0 if all are, 2 if the case couldn't run.
 */

import { join } from 'node:path'
import { Stage } from '../lib-2/stage.mjs'

/** From the begin, when replica1 receives nothing any more. */
const REPLICA_DARK_AT_MS = 500
const KILLED_AT_MS = 4300
const STARTED_AT_MS = 4800
/** replica1 may receive again after 6.5 s, and the primary is dark for 7 s. */
const DEAF_MS = 6500
const PRIMARY_DARK_MS = 7000
const START_MS = 5000

/** What was sent, answered and run. */
const record = process.argv[2] ?? join(import.meta.dirname, 'newcomer-host-record.txt')

const stage = await Stage.start({ record })
const isReady = await stage.startHosts(true)
if (isReady) {
  stage.startRequesters()
  await stage.pause(3000)
  if (stage.isTroubled) await disrupt()
  await stage.pause(6000)
  await stage.stopRequesters()
}
const lost = stage.judgeLost()
const couldRun = isReady && stage.acknowledged.length > 0
stage.stop()
process.exit(!couldRun ? 2 : lost > 0 ? 1 : 0)

async function disrupt () {
  const { database: { servers }, programs } = stage
  const [primary, replica1, replica2] = ['primary', 'replica1', 'replica2'].map(id => servers.get(id))
  stage.note('TROUBLE: replica1 receives nothing')
  replica1.isDeaf = true
  setTimeout(() => { replica1.isDeaf = false }, DEAF_MS)
  await stage.pause(REPLICA_DARK_AT_MS)
  stage.note('TROUBLE: replica2 is dark')
  replica2.isDark = true
  await stage.pause(KILLED_AT_MS - REPLICA_DARK_AT_MS)
  for (const i of programs.ips.keys()) programs.signal(i, 'SIGKILL')
  await stage.pause(STARTED_AT_MS - KILLED_AT_MS)
  for (const i of programs.ips.keys()) programs.start(i, false)
  await programs.allReady(START_MS)
  stage.note('TROUBLE: primary is dark')
  primary.isDark = true
  setTimeout(() => { primary.isDark = false }, PRIMARY_DARK_MS)
}
