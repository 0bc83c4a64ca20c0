/**
 * All hosts are killed while the store is down; as it returns, a replica is back in the directory before the primary is. See returning-entries.txt.
 * Exits with 1 if an acknowledged commit isn't in the log of the server that is promoted, 0 if all are, 2 if the case couldn't run.
 */

import { join } from 'node:path'
import { Stage } from '../lib-2/stage.mjs'

/** How long the store is down, and when in that time the processes are killed and start again. */
const DOWN_MS = 4500
const KILLED_AT_MS = 3000
const STARTED_AT_MS = 3700
/** How long after the store's return the servers' entries are back: the pages say within about two seconds. */
const BACK_MS = { replica1: 300, primary: 2000, replica2: 2000 }

/** What was sent, answered and run. */
const record = process.argv[2] ?? join(import.meta.dirname, 'returning-entries-record.txt')

const stage = await Stage.start({ record, replicaLagMs: [40, 15] })
const isReady = await stage.startHosts(true)
if (isReady) {
  stage.startRequesters()
  await stage.pause(5000)
  if (stage.isTroubled) await disrupt()
  await stage.pause(8000)
  await stage.stopRequesters()
}
const lost = stage.judgeLost()
const couldRun = isReady && stage.acknowledged.length > 0
stage.stop()
process.exit(!couldRun ? 2 : lost > 0 ? 1 : 0)

async function disrupt () {
  const { database, programs, store } = stage
  stage.note('TROUBLE: the store is down; entries of servers expire meanwhile')
  store.setDown(true)
  for (const server of database.servers.values()) server.isHeldBack = true
  await stage.pause(KILLED_AT_MS)
  for (const i of programs.ips.keys()) programs.signal(i, 'SIGKILL')
  await stage.pause(STARTED_AT_MS - KILLED_AT_MS)
  for (const i of programs.ips.keys()) programs.start(i, false)
  await stage.pause(DOWN_MS - STARTED_AT_MS)
  store.setDown(false)
  stage.note('the store is back')
  for (const [id, ms] of Object.entries(BACK_MS)) {
    setTimeout(() => {
      const server = database.servers.get(id)
      server.isHeldBack = false
      stage.note(`the entry of ${id} is back: ${server.beat()}`)
    }, ms)
  }
}
