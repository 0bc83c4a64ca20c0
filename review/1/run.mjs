/** A replica that lacks acknowledged commits is promoted, since the one that has them does not answer the survey in time. */

import { Caller, Service, isTroubled, manifestOf, newId, outcomeOf, pause, runCase } from '../lib/stage.mjs'

const ZONES = ['bay-a', 'bay-b', 'stores-hall']
/** Seven hosts, as the site has them. */
const HOSTS = ['bay-a', 'bay-a', 'bay-a', 'bay-b', 'bay-b', 'stores-hall', 'stores-hall']
const WRITERS = 6
const READERS = 24
/** About 15 writes and 90 reads a second: a third of the site's, which has three databases. */
const WRITE_PAUSE_MS = 340
const READ_PAUSE_MS = 240
/** Only the crash, without the deaf and the slow replica: a promotion that has to keep everything. */
const isCrashAlone = process.env.TROUBLE === 'crash'
/** The doses of the site file: a deaf replica, a slow server, a crashed primary. */
const DEAF_MS = 6500
const SLOW_X = 5
const SLOW_MS = 6500
const CRASH_MS = 7000

await runCase(async ({ record, store, cloud, hosts }) => {
  const service = new Service({ name: 'floor1', store, record, zones: ZONES, syncReplicas: 1, workMs: 15 })
  cloud.services.set(service.name, service)
  await service.start()
  store.put('op', 'config', manifestOf({ service: service.name, syncReplicas: 1 }))
  await hosts.start({ zones: HOSTS, store, cloud })

  const acknowledged = new Map()
  const state = { isOver: false }
  const lost = []
  service.onPromoted = next => {
    const held = new Set(next.log.flatMap(({ writes }) => writes.map(({ id }) => id)))
    lost.push(...[...acknowledged].filter(([id]) => !held.has(id)).map(([id, at]) => ({ id, at })))
    record.tell(`${acknowledged.size} writes were acknowledged; ${lost.length} of them are not in the log of the promoted server`)
  }
  const write = async i => {
    for (let n = 0, caller; !state.isOver; n++) {
      caller = caller === undefined || caller.isEnded ? await signIn(hosts.all[(i + n) % hosts.all.length], 'crimp') : caller
      const id = newId()
      record.note(`requester sends ${id} WRITE item${i} v${n}`)
      const outcome = outcomeOf(await caller.ask(id, `WRITE item${i} v${n}`, 3000))
      record.note(`requester gets ${id} ${outcome}`)
      if (outcome === 'done') acknowledged.set(id, record.seconds)
      await pause(outcome === 'done' ? WRITE_PAUSE_MS : 100)
    }
  }
  const read = async i => {
    for (let n = 0, caller; !state.isOver; n++) {
      caller = caller === undefined || caller.isEnded ? await signIn(hosts.all[(i + n) % hosts.all.length], 'bom') : caller
      const id = newId()
      const outcome = outcomeOf(await caller.ask(id, `READ item${i % WRITERS}`, 3000))
      record.note(`requester gets ${id} ${outcome}`)
      await pause(outcome === 'done' ? READ_PAUSE_MS : 100)
    }
  }
  const work = [...Array.from({ length: WRITERS }, (_, i) => write(i)), ...Array.from({ length: READERS }, (_, i) => read(i))]
  await pause(4000)
  const [primary, current, deaf] = service.servers
  record.tell(`${primary.id} leads, ${current.id} and ${deaf.id} follow; ${acknowledged.size} writes are acknowledged`)
  if (isTroubled) await disturb({ primary, current, deaf, record, acknowledged })
  await pause(10_000)
  state.isOver = true
  await Promise.all(work)
  for (const line of hosts.logged(3001, 3006, 3007, 3008)) record.note(`log ${line}`)
  for (const { id, at } of lost.slice(0, 3)) record.tell(`lost: write ${id}, acknowledged at ${at.toFixed(3)}`)
  const kept = new Set(service.servers.flatMap(({ log }) => log.flatMap(({ writes }) => writes.map(({ id }) => id))))
  record.tell(`at the end ${[...acknowledged.keys()].filter(id => !kept.has(id)).length} acknowledged writes are in the log of no server`)
  if (acknowledged.size === 0) throw new Error('nothing was acknowledged')
  return lost.length > 0
})

async function disturb ({ primary, current, deaf, record, acknowledged }) {
  if (!isCrashAlone) hinderReplicas({ current, deaf, record })
  await pause(2000)
  record.tell(`${primary.id} crashes for ${CRASH_MS} ms (srv_crash, primary); ${acknowledged.size} writes are acknowledged`)
  primary.crash()
  setTimeout(() => primary.restart(), CRASH_MS)
}

async function hinderReplicas ({ current, deaf, record }) {
  deaf.isDeaf = true
  setTimeout(() => {
    deaf.isDeaf = false
    deaf.receive()
  }, DEAF_MS)
  record.tell(`${deaf.id} receives nothing for ${DEAF_MS} ms (replica_lag, deaf)`)
  await pause(1000)
  current.slowX = SLOW_X
  setTimeout(() => { current.slowX = 1 }, SLOW_MS)
  record.tell(`${current.id} works ${SLOW_X} times as long for ${SLOW_MS} ms (srv_slow)`)
}

async function signIn (host, database) {
  const caller = new Caller(host.front, database)
  await caller.answer(2000)
  return caller
}
