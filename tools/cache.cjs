/**
 * Writes the code cache of the program that is given: `node tools/cache.cjs FILE`.
 *
 * The program is started as on a host, against a small store in this process, until
 * it's ready and has signed a caller in, so that the functions that run at every start are compiled and come into the
 * cache; those that it lacks are compiled while callers wait. It holds code only, and none of what the program was told.
 */

'use strict'

const { randomInt } = require('node:crypto')
const { mkdtempSync, readFileSync, rmSync, writeFileSync } = require('node:fs')
const { createServer, get } = require('node:http')
const { connect } = require('node:net')
const { tmpdir } = require('node:os')
const { join, resolve } = require('node:path')
const { Script } = require('node:vm')

/** One that no other build uses at the same time: the port of the metrics is fixed. */
const IP = `127.${1 + randomInt(250)}.${randomInt(250)}.${1 + randomInt(250)}`
/** A start takes half a second; without an end within this time the cache is written with what ran until then. */
const MOST_MS = 5000
const LOOK_MS = 20
/** What runs a little after the start: the first beats, records and lines of the log. */
const AFTER_MS = 1500

const filename = resolve(process.argv[2])
const script = new Script(readFileSync(filename, 'utf8'), { filename })
const folder = mkdtempSync(join(tmpdir(), 'cache-'))
process.argv.splice(2)

const rows = {
  op: [{ key: 'config', ver: 1, value: encode({ version: 1, routes: [route('strict', 'primary'), route('aged', 'read_your_writes'), route('stale', 'bounded_staleness')], services: [{ name: 's', maxConns: 16, syncReplicas: 0 }], limits: { txIdleMs: 60000 } }) }],
  servers: [{ key: 'e', ver: 2, value: encode({ service: 's', address: `${IP}:1`, zone: 'z', version: 'v', capacity: 2, state: 'ready', coldLeftMs: 0, dbRole: 'primary', sequence: 1, born: 1 }) }]
}

const store = createServer((req, res) => {
  const { pathname, searchParams } = new URL(req.url, 'http://store')
  const answer = pathname === '/rows-get' ? { rows: rows[searchParams.get('table')] ?? [], ver: 2, nowMs: 0 } : { rows: [], ver: 2, nowMs: 0 }
  setTimeout(() => res.end(JSON.stringify(answer)), Math.min(Number(searchParams.get('waitMs')), AFTER_MS))
})

store.listen(0, IP, async () => {
  const ports = await Promise.all([free(), free(), free(), free()])
  const settings = join(folder, 'settings.toml')
  writeFileSync(settings, settingsOf(store.address().port, ports))
  process.env.AGATEPOND_CONFIG = settings
  script.runInThisContext()({}, require, {}, filename, __dirname)
  const until = Date.now() + MOST_MS
  while (Date.now() < until && !await isReady(ports[1])) await pause(LOOK_MS)
  await signIn(ports[0])
  await pause(AFTER_MS)
  writeFileSync(`${filename}.cache`, script.createCachedData())
  rmSync(folder, { recursive: true })
  process.exit(0)
})

function settingsOf (storePort, [front, ready, control, inner]) {
  return `
nodeName = "h"
zone = "z"
ip = "${IP}"
internalPortRange = [${inner}, ${inner}]
seedNodes = ["${IP}:${control}"]
[listenAddrs]
front = "${IP}:${front}"
ready = "${IP}:${ready}"
control = "${IP}:${control}"
[platform]
address = "${IP}:${storePort}"
[cloudApi]
address = "${IP}:${storePort}"
`
}

function route (host, routeType) {
  return { host, name: host, prefix: '/', routeType, timeoutMs: 500, targetLatencyMs: 100, priority: 1, service: 's', maxStalenessMs: 1000 }
}

function encode (value) {
  return Buffer.from(JSON.stringify(value)).toString('base64')
}

async function free () {
  const server = createServer()
  return await new Promise(resolve => server.listen(0, IP, () => {
    const { port } = server.address()
    server.close(() => resolve(port))
  }))
}

async function isReady (port) {
  return await new Promise(resolve => {
    get({ host: IP, port, path: '/ready', agent: false }, res => {
      res.resume()
      resolve(res.statusCode === 200)
    }).on('error', () => resolve(false))
  })
}

/** A statement that no endpoint answers: the way there is compiled all the same. */
async function signIn (port) {
  const socket = connect(port, IP)
  socket.on('error', () => socket.destroy())
  socket.write('START aged u\r\nQUERY a READ 1\r\nQUERY b BEGIN\r\nQUERY c ROLLBACK\r\n')
  await pause(AFTER_MS)
  socket.destroy()
}

async function pause (ms) {
  await new Promise(resolve => setTimeout(resolve, ms))
}
