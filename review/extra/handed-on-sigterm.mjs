/** A host that hands its sessions to an owner gets SIGTERM; transactions with a statement under way at half of the grace are forgotten and cut at its end. */

import { Caller, Service, isTroubled, manifestOf, newId, outcomeOf, pause, runCase } from '../lib/stage.mjs'

const ZONES = ['bay-a', 'bay-a', 'bay-a', 'bay-a', 'bay-b', 'bay-b', 'bay-b', 'stores-hall', 'stores-hall', 'stores-hall']
const GRACE_MS = 6000
/** A look-up of the site takes 110 ms at most. */
const READ_MS = 100
const SESSIONS = 6
/** When each session sends its reads, in milliseconds from the SIGTERM: twelve statements of one transaction with rests between them. */
const TIMES = [2200, 2500, 2955, 3500, 4000, 4500, 4750, 4851, 4952, 5053, 5154]

await runCase(async ({ record, store, cloud, hosts }) => {
  const service = new Service({ name: 'floor1', store, record, zones: ['bay-a', 'bay-b', 'stores-hall'], workMs: READ_MS })
  cloud.services.set(service.name, service)
  await service.start()
  store.put('op', 'config', manifestOf({ service: service.name }))
  await hosts.start({ zones: ZONES, store, cloud })
  // The owners of the connections are chosen once all hosts know each other.
  await pause(5000)

  const host = await passingHost(hosts)
  record.tell(`${host.name} hands its sessions to an owner`)
  const callers = await Promise.all(Array.from({ length: SESSIONS }, () => signIn(host, 'bom')))
  await callers[0].ask(newId(), 'READ item0')
  host.isKeptUp = false
  const since = performance.now()
  if (isTroubled) host.child.kill('SIGTERM')
  record.tell(isTroubled ? `${host.name} gets SIGTERM (roll_term)` : 'no SIGTERM')

  const statements = (await Promise.all(callers.map(async (caller, i) => await transact(caller, i, since, record)))).flat()
  await pause(Math.max(0, since + GRACE_MS + 1000 - performance.now()))
  const heard = new Map(service.servers.flatMap(({ arrivals }) => arrivals.map(arrival => [arrival.id, arrival])))
  const cut = statements.filter(({ id, outcome }) => outcome === 'closed' && heard.has(id))
  // Not counted: the server was still at work in the last sixth of the grace on a request that was sent no later than 3 s after the SIGTERM.
  const lost = cut.filter(({ id, sentMs }) => sentMs > 3000 || heard.get(id).at + READ_MS < since + GRACE_MS * 5 / 6)
  for (const { id, sentMs, endedMs } of lost) record.tell(`lost: ${id}, sent ${sentMs.toFixed(0)} ms after the SIGTERM, passed on to a server ${(heard.get(id).at - since).toFixed(0)} ms after it, cut without an answer ${endedMs.toFixed(0)} ms after it`)
  for (const { at, code, signal } of host.ends) record.tell(`${host.name} ended at ${at.toFixed(3)}, code ${code}, signal ${signal}`)
  record.tell(`${statements.length} statements sent, ${statements.filter(({ outcome }) => outcome === 'done').length} done, ${lost.length} lost`)
  return lost.length > 0
})

async function transact (caller, i, since, record) {
  const statements = []
  const untilMs = async ms => await pause(Math.max(0, since + ms - performance.now()))
  await untilMs(TIMES[0] + 3 * i)
  await caller.ask(newId(), 'BEGIN READ')
  for (const ms of TIMES) {
    await untilMs(ms + 3 * i)
    if (caller.isEnded) return statements
    const id = newId()
    const sentMs = performance.now() - since
    record.note(`session ${i} sends ${id}, ${sentMs.toFixed(0)} ms`)
    const outcome = outcomeOf(await caller.ask(id, `READ item${i}`))
    const endedMs = performance.now() - since
    record.note(`session ${i} gets ${id} ${outcome}, ${endedMs.toFixed(0)} ms`)
    statements.push({ id, sentMs, endedMs, outcome })
    if (outcome !== 'done') return statements
  }
  await caller.ask(newId(), 'COMMIT')
  return statements
}

/** A host that is no owner of connections, as its metrics tell after a sign-in. */
async function passingHost (hosts) {
  for (const host of hosts.all) {
    const caller = await signIn(host, 'bom')
    const text = await (await fetch(`http://${host.ready.ip}:${host.ready.port}/metrics`)).text()
    caller.leave()
    if (Number(/^agatepond_sessions_passed_on_total (\d+)/m.exec(text)?.[1] ?? 0) > 0) return host
  }
  throw new Error('no host passes sessions on')
}

async function signIn (host, database) {
  const caller = new Caller(host.front, database)
  await caller.answer(2000)
  return caller
}
