/**
 * Planned work alone: the primary is replaced, and a replica one gap later. See claim.txt.
 * Exits with 1 if an acknowledged commit isn't in the log of the server that is promoted, 0 if all are, 2 if the case couldn't run.
 */

import { join } from 'node:path'
import { Stage } from '../lib-2/stage.mjs'

/** From the start of one replacement to the next. */
const GAP_MS = 1000
/** From the start of a new server to the report of the old one that it leaves. */
const DRAINS_AFTER_MS = 300

/** What was sent, answered and run. */
const record = process.argv[2] ?? join(import.meta.dirname, 'record.txt')

const stage = await Stage.start({ record })
const isReady = await stage.startHosts(true)
if (isReady) {
  stage.startRequesters()
  await stage.pause(3000)
  await replaceServers()
  await stage.pause(6000)
  await stage.stopRequesters()
}
const lost = stage.judgeLost()
const couldRun = isReady && stage.acknowledged.length > 0 && stage.database.promotions.length > 0
stage.stop()
process.exit(!couldRun ? 2 : lost > 0 ? 1 : 0)

/** The primary and then a replica are replaced: the new one starts first, the old one drains. Without trouble the replica stays. */
async function replaceServers () {
  const { database, isTroubled, sparePorts: [forPrimary, forReplica] } = stage
  database.add({ id: 'primaryb', zone: 'zone-a', port: forPrimary, lagMs: 20 })
  await stage.pause(DRAINS_AFTER_MS)
  drain('primary')
  if (!isTroubled) return
  await stage.pause(GAP_MS - DRAINS_AFTER_MS)
  database.add({ id: 'replica2b', zone: 'zone-c', port: forReplica, lagMs: 20 })
  await stage.pause(DRAINS_AFTER_MS)
  drain('replica2')
}

function drain (id) {
  const server = stage.database.servers.get(id)
  server.state = 'draining'
  stage.note(`${id} reports that it leaves: ${server.beat()}`)
}
