/**
 * A replica is partitioned from the store for five seconds and goes on receiving; then the primary is to be replaced. See claim.txt.
 * Exits with 1 if an acknowledged commit isn't in the log of the server that is promoted, 0 if all are, 2 if the case couldn't run.
 */

import { join } from 'node:path'
import { Stage } from '../lib-2/stage.mjs'

/** How long the replica is partitioned from the store, and how long after its last report that begins. */
const CUT_MS = 5000
const CUT_AFTER_REPORT_MS = 1100
/** When the primary reports that it leaves, after the begin of the cut. */
const DRAINING_AT_MS = 5150

/** What was sent, answered and run. */
const record = process.argv[2] ?? join(import.meta.dirname, 'record.txt')

const stage = await Stage.start({ record })
const isReady = await stage.startHosts(true)
if (isReady) {
  stage.startRequesters()
  await stage.pause(5000)
  await replacePrimary()
  await stage.pause(6000)
  await stage.stopRequesters()
}
const lost = stage.judgeLost()
const couldRun = isReady && stage.acknowledged.length > 0 && stage.database.promotions.length > 0
stage.stop()
process.exit(!couldRun ? 2 : lost > 0 ? 1 : 0)

/** The planned replacement, which is no disruption; without trouble the cut before it is left out. */
async function replacePrimary () {
  const { database, isTroubled } = stage
  const replica = database.servers.get('replica2')
  await stage.pause(Math.max(0, replica.beatAt + CUT_AFTER_REPORT_MS - performance.now()))
  replica.isHeldBack = isTroubled
  if (isTroubled) stage.note('TROUBLE: replica2 is partitioned from the store')
  setTimeout(() => {
    replica.isHeldBack = false
    if (isTroubled) stage.note('replica2 reaches the store')
  }, CUT_MS)
  await stage.pause(DRAINING_AT_MS)
  const primary = database.servers.get('primary')
  primary.state = 'draining'
  stage.note(`primary reports that it leaves: ${primary.beat()}`)
}
