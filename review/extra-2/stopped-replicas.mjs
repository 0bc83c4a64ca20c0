/**
 * The primary goes dark for two seconds, and all processes end right after the orders to its replicas were accepted. See stopped-replicas.txt.
 * Exits with 1 if less than a quarter of the requests is served from recoveryS on, though a quarter or more was before, 0 if not, 2 if the case couldn't run.
 */

import { join } from 'node:path'
import { Stage } from '../lib-2/stage.mjs'

/** How long the primary is dark. */
const DARK_MS = 2000
/** How long the processes are down. */
const DOWN_MS = 1000
/** From the bounds; measured for some time after it. */
const RECOVERY_MS = 12_000
const MEASURED_MS = 10_000

/** What was sent, answered and run. */
const record = process.argv[2] ?? join(import.meta.dirname, 'stopped-replicas-record.txt')

const stage = await Stage.start({ record })
const isReady = await stage.startHosts(true)
let before = { sent: 0, served: 0 }
let after = { sent: 0, served: 0 }
if (isReady) {
  stage.startRequesters()
  const beganAt = performance.now()
  await stage.pause(5000)
  if (stage.isTroubled) await disrupt()
  else await finalFault()
  const endedAt = performance.now()
  before = stage.served(beganAt, beganAt + 5000)
  await stage.pause(RECOVERY_MS + MEASURED_MS)
  await stage.stopRequesters()
  after = stage.served(endedAt + RECOVERY_MS, endedAt + RECOVERY_MS + MEASURED_MS)
}
stage.result(`before: ${before.served} of ${before.sent} served; later than recoveryS after the machines are back: ${after.served} of ${after.sent}`)
stage.stop()
process.exit(!isReady || before.served * 4 < before.sent || after.sent === 0 ? 2 : after.served * 4 < after.sent ? 1 : 0)

async function disrupt () {
  const { database: { servers }, programs } = stage
  const primary = servers.get('primary')
  const replicas = [servers.get('replica1'), servers.get('replica2')]
  const areStopped = new Promise(resolve => {
    const stopped = new Set()
    for (const replica of replicas) {
      replica.onLine = line => {
        const [, , verb, term] = line.split(' ')
        if (verb === 'PAUSE' && Number(term) > replica.term) stopped.add(replica)
        if (stopped.size === replicas.length) resolve()
      }
    }
  })
  stage.note('TROUBLE: primary is dark')
  primary.isDark = true
  const darkAt = performance.now()
  setTimeout(() => {
    primary.isDark = false
    primary.beat()
    stage.note('primary is back')
  }, DARK_MS)
  await Promise.race([areStopped, stage.pause(DARK_MS)])
  stage.note(`TROUBLE: all processes end, ${Math.round(performance.now() - darkAt)} ms later`)
  await finalFault(programs)
}

/** All processes are killed, and start again. */
async function finalFault (programs = stage.programs) {
  for (const i of programs.ips.keys()) programs.signal(i, 'SIGKILL')
  await stage.pause(DOWN_MS)
  for (const i of programs.ips.keys()) programs.start(i, false)
}
