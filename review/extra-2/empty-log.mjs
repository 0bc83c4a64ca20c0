/**
 * An entry of docs/incidents/promoted-without-acknowledged-commits.md that was open by reading, with real processes: one replica receives nothing, the other crashes and
 * starts again under its id with an empty log, and the primary goes dark before it has received anew. Exits with 1 if an acknowledged commit isn't in
 * the log of the server that is promoted, 0 if all are, 2 if the case couldn't run.
 */

import { join } from 'node:path'
import { Stage } from '../lib-2/stage.mjs'

/** From the begin, when replica1 receives nothing any more. */
const CRASHED_AT_MS = 1000
const RESTARTED_AFTER_MS = 1000
/** replica1 may receive again after 6.5 s, and the primary is dark for 7 s. */
const DEAF_MS = 6500
const PRIMARY_DARK_MS = 7000

/** What was sent, answered and run. */
const record = process.argv[2] ?? join(import.meta.dirname, 'empty-log-record.txt')

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
  const { database } = stage
  const primary = database.servers.get('primary')
  const replica1 = database.servers.get('replica1')
  stage.note('TROUBLE: replica1 receives nothing')
  replica1.isDeaf = true
  setTimeout(() => { replica1.isDeaf = false }, DEAF_MS)
  await stage.pause(CRASHED_AT_MS)
  stage.note('TROUBLE: replica2 crashes')
  const old = database.servers.get('replica2')
  old.log = []
  setTimeout(() => {
    stage.note('TROUBLE: primary is dark')
    primary.isDark = true
    setTimeout(() => { primary.isDark = false }, PRIMARY_DARK_MS)
  }, RESTARTED_AFTER_MS - 50)
  await database.replace('replica2', 'replica2', RESTARTED_AFTER_MS, { isCrash: true })
}
