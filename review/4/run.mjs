/**
 * Planned work alone: a replica is replaced, and right after it has ended the primary is to be replaced. See claim.txt.
 * Exits with 1 if an acknowledged commit isn't in the log of the server that is promoted, 0 if all are, 2 if the case couldn't run.
 */

import { join } from 'node:path'
import { Stage } from '../lib-2/stage.mjs'

/** How long a server serves after its report that it leaves. */
const DRAIN_MS = 7000
/** From the end of the replica to the start of its successor, and to the report of the primary that it leaves. */
const SUCCESSOR_AFTER_MS = 500
const NEXT_AFTER_MS = 100

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

/** Without trouble the replica stays, and the primary alone is replaced. */
async function replaceServers () {
  const { database, isTroubled } = stage
  if (isTroubled) {
    drain('replica2')
    await stage.pause(DRAIN_MS + 200)
    database.replace('replica2', 'replica2b', SUCCESSOR_AFTER_MS)
    await stage.pause(NEXT_AFTER_MS)
  }
  drain('primary')
}

function drain (id) {
  const server = stage.database.servers.get(id)
  server.state = 'draining'
  stage.note(`${id} reports that it leaves: ${server.beat()}`)
}
