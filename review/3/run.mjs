/** A primary leaves while orders to promote stay unanswered; requests go on to it after its drain time, and its end cuts them. */

import { Caller, Service, isTroubled, manifestOf, newId, outcomeOf, pause, runCase } from '../lib/stage.mjs'

const ZONES = ['bay-a', 'bay-b', 'stores-hall']
/** Seven hosts, as the site has them. */
const HOSTS = ['bay-a', 'bay-a', 'bay-a', 'bay-b', 'bay-b', 'stores-hall', 'stores-hall']
const WRITERS = 16
/** About 30 writes a second: a third of what the site sends to primaries, as it has three databases. */
const WRITE_PAUSE_MS = 500
const DRAIN_MS = 7000
/** A leaving server serves for its drain time and a little longer. */
const LONGER_MS = 1000
/** Orders are unanswered for so long, and each is carried out two to twelve seconds later; here in the last quarter of that. */
const LATE_FOR_MS = 12_000
const LATE_MS = { min: 9500, max: 12_000 }

await runCase(async ({ record, store, cloud, hosts }) => {
  const service = new Service({ name: 'floor1', store, record, zones: ZONES })
  cloud.services.set(service.name, service)
  await service.start()
  store.put('op', 'config', manifestOf({ service: service.name }))
  await hosts.start({ zones: HOSTS, store, cloud })

  const state = { isOver: false, done: 0 }
  const unanswered = []
  const write = async i => {
    for (let n = 0, caller; !state.isOver; n++) {
      caller = caller === undefined || caller.isEnded ? await signIn(hosts.all[(i + n) % hosts.all.length], 'crimp') : caller
      const id = newId()
      record.note(`requester sends ${id} WRITE item${i} v${n}`)
      const outcome = outcomeOf(await caller.ask(id, `WRITE item${i} v${n}`, 3000))
      record.note(`requester gets ${id} ${outcome}`)
      if (outcome === 'done') state.done++
      if (['INDOUBT', 'TIMEOUT', 'closed', 'silent'].includes(outcome)) unanswered.push({ id, outcome })
      await pause(outcome === 'done' ? WRITE_PAUSE_MS : 100)
    }
  }
  const work = Array.from({ length: WRITERS }, (_, i) => write(i))
  await pause(4000)

  const [primary] = service.servers
  if (isTroubled) {
    cloud.lateMs = () => LATE_MS.min + Math.random() * (LATE_MS.max - LATE_MS.min)
    setTimeout(() => { cloud.lateMs = undefined }, LATE_FOR_MS)
    record.tell('orders to the platform get no answer and are carried out late (applied_late, cloud)')
  }
  primary.drain()
  const said = performance.now()
  record.tell(`${primary.id} says that it leaves, and the store has taken it (release, primary)`)
  await pause(DRAIN_MS + LONGER_MS)
  record.tell(`${primary.id} ends; ${service.primary.id} leads`)
  primary.leave()
  await pause(6000)
  state.isOver = true
  await Promise.all(work)
  for (const line of hosts.logged(3001, 3005, 3006, 3008)) record.note(`log ${line}`)

  const late = primary.arrivals.filter(({ at }) => at > said + DRAIN_MS)
  const cut = unanswered.filter(({ id }) => late.some(one => one.id === id))
  const [latest] = late.slice(-1)
  if (latest !== undefined) record.tell(`the last of them ${(latest.at - said).toFixed(0)} ms after its word: ${latest.id} ${latest.text}`)
  record.tell(`${state.done} writes done; ${late.length} requests reached ${primary.id} later than ${DRAIN_MS} ms after its word, and ${cut.length} of them were left in doubt`)
  return late.length > 0
})

async function signIn (host, database) {
  const caller = new Caller(host.front, database)
  await caller.answer(2000)
  return caller
}
