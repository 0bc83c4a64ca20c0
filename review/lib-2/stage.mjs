/** What the cases share: a service with one primary and two replicas whose commits wait for a replica, the hosts, and requesters that write. */

import { closeSync, openSync, writeSync } from 'node:fs'
import { Database } from './database.mjs'
import { Programs } from './programs.mjs'
import { Requester } from './requester.mjs'
import { Store } from './store.mjs'

const SERVICE = 'svc'
const DATABASE = 'crimp'
/** 314 requests a second on three databases, of which 36 are single writes and 43 transactions. */
const WRITES_PER_S = 26
const REQUESTERS = 14
const PROMOTE_MS = 1000

export class Stage {
  #record
  requesters = []

  /** `record`: the file that takes what is sent, answered and run, each line at once. `replicaLagMs`: the way of a commit to each replica. `syncReplicas`: as many replicas as a commit waits for. */
  static async start ({ record, hosts = 7, replicaLagMs = [20, 20], syncReplicas = 1 }) {
    const stage = new Stage()
    stage.#record = openSync(record, 'w')
    stage.note(`runs with${stage.isTroubled ? '' : 'out'} the disruption`)
    const note = line => stage.note(line)
    const programs = await Programs.create({ count: hosts, note })
    const [storePort, cloudPort, ...serverPorts] = programs.otherPorts
    const ip = programs.otherIp
    const store = await Store.start({ ip, port: storePort, cloudPort, note })
    const servers = [
      { id: 'primary', zone: 'zone-a', port: serverPorts[0], lagMs: replicaLagMs[0] },
      { id: 'replica1', zone: 'zone-b', port: serverPorts[1], lagMs: replicaLagMs[0] },
      { id: 'replica2', zone: 'zone-c', port: serverPorts[2], lagMs: replicaLagMs[1] }
    ]
    const database = await Database.start({ service: SERVICE, ip, syncReplicas, promoteMs: PROMOTE_MS, store, note, servers })
    store.put('op', 'config', JSON.stringify({
      version: 7,
      routes: [
        { name: 'r1', host: DATABASE, prefix: '/', routeType: 'primary', timeoutMs: 800, targetLatencyMs: 100, priority: 1, service: SERVICE, attempts: 2 }
      ],
      services: [{ name: SERVICE, healthPath: '/health', maxConns: 30, protocol: 'h1', tls: false, syncReplicas }],
      limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000, txIdleMs: 3000 }
    }))
    return Object.assign(stage, { programs, store, database, sparePorts: serverPorts.slice(servers.length) })
  }

  /** Whether the disruption is to happen. */
  get isTroubled () {
    return process.env.TROUBLE !== '0'
  }

  note (line) {
    writeSync(this.#record, `${Math.round(performance.now())} ${line}\n`)
  }

  async pause (ms) {
    await new Promise(resolve => setTimeout(resolve, ms))
  }

  /** Starts all hosts; false when they don't get ready. */
  async startHosts (isFirst) {
    for (const i of this.programs.ips.keys()) this.programs.start(i, isFirst)
    return await this.programs.allReady(15_000)
  }

  /** Requesters that write, at the rate of the site's writes and writing transactions on one of its databases. */
  startRequesters () {
    const { programs: { ips, frontPort } } = this
    const intervalMs = REQUESTERS * 1000 / WRITES_PER_S
    this.requesters = Array.from({ length: REQUESTERS }, (_, i) => Requester.start({ name: `c${i}`, hosts: ips, port: frontPort, database: DATABASE, first: i, intervalMs, delayMs: i * intervalMs / REQUESTERS, note: line => this.note(line) }))
  }

  async stopRequesters () {
    await Promise.all(this.requesters.map(async requester => await requester.stop()))
  }

  /** What was acknowledged to a requester. */
  get acknowledged () {
    return this.requesters.flatMap(requester => requester.acknowledged)
  }

  /** How many writes were sent in the span, and how many of them were acknowledged. */
  served (from, until) {
    const sent = this.requesters.flatMap(requester => requester.sent).filter(({ at }) => at >= from && at < until)
    const served = new Set(this.acknowledged.map(({ data }) => data))
    return { sent: sent.length, served: sent.filter(({ data }) => served.has(data)).length }
  }

  /** Notes the outcome of the rule LOST; returns how many commits were acknowledged before a promotion and aren't in the log of the promoted server. */
  judgeLost () {
    const { acknowledged, database } = this
    const lost = database.promotions.flatMap(({ id, at, log }) => acknowledged.filter(({ data }) => database.acknowledgedAt.get(data) < at && !log.has(data)).map(({ data }) => `${data} is not in the log of ${id}`))
    this.result(`acknowledged: ${acknowledged.length}; promotions: ${database.promotions.map(({ id }) => id).join(' ') || 'none'}`)
    this.result(`acknowledged before a promotion and not in the log of the promoted server: ${lost.length}`)
    for (const line of lost.slice(0, 20)) this.result(line)
    return lost.length
  }

  result (line) {
    this.note(`RESULT ${line}`)
    process.stdout.write(`${line}\n`)
  }

  /** Ends all processes that were started. */
  stop () {
    const answers = {}
    for (const requester of this.requesters) for (const [kind, count] of requester.answers) answers[kind] = (answers[kind] ?? 0) + count
    this.result(`answers: ${JSON.stringify(answers)}`)
    this.programs.stop()
    this.database.stop()
    this.store.stop()
    closeSync(this.#record)
    this.note = () => {}
  }
}
