/**
 * A stand-in database server as one process: MySQL on one port, replication
 * on a second, switches for its lag and faults over HTTP on a third.
 */

import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import initSqlJs from 'sql.js'
import { MysqlServer } from '../../src/shell/mysql/server.ts'
import { arg } from '../args.ts'
import { bodyOf } from '../body.ts'
import { Replication } from './replication.ts'
import { Server } from './server.ts'
import { EndpointSession } from './session.ts'

const ip = arg('ip', '127.0.0.1')
const addresses = new Map(arg('group').split(',').map(pair => pair.split('=') as [string, string]))
const server = Server.create(arg('id'), await initSqlJs())
server.lagMs = Number(arg('lag', '0'))
const replication = Replication.listen(server, ip, Number(arg('replication-port')))
const switches = { connectMs: Number(arg('connect-ms', '0')), statementMs: Number(arg('statement-ms', '0')) }
const most = Number(arg('most-connections', '32'))
const counts = { connections: 0, mostConnections: 0, refused: 0, statements: 0 }

if (arg('primary', '') === arg('id')) {
  server.seal(1, 'installer')
  server.promote(1, 'installer')
} else {
  server.follow(1)
  replication.follow(addresses.get(arg('primary', '')) ?? '', 1)
}

await MysqlServer.listen({
  host: ip,
  port: Number(arg('port')),
  tracksSession: true,
  accept: async login => {
    await sleep(switches.connectMs)
    if (counts.connections >= most) {
      counts.refused++
      return { code: 1040, message: 'Too many connections' }
    }
    counts.connections++
    counts.mostConnections = Math.max(counts.mostConnections, counts.connections)
    return EndpointSession.create({
      server,
      replication,
      addresses,
      mayControl: login.user === 'control',
      statementMs: () => switches.statementMs,
      onClosed: () => { counts.connections-- },
      onStatement: () => { counts.statements++ }
    })
  }
}, new AbortController().signal)

createServer((req, res) => {
  bodyOf(req).then(body => {
    const change = body.length === 0 ? {} : JSON.parse(body.toString()) as { lagMs?: number, cut?: boolean, connectMs?: number, statementMs?: number }
    if (change.lagMs !== undefined) server.lagMs = change.lagMs
    if (change.cut !== undefined) replication.setCut(change.cut)
    Object.assign(switches, change)
    res.end(JSON.stringify({ id: server.id, ...server.status, ...counts }))
  })
}).listen(Number(arg('admin-port')), ip, () => process.stdout.write('ready\n'))
