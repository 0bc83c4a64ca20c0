/**
 * The stand-in for the platform, as one process on one address: the table
 * service, the object store, the host list, and switches for their faults.
 */

import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { arg } from '../args.ts'
import { bodyOf } from '../body.ts'
import { Objects } from './objects.ts'
import { Tables } from './table.ts'

interface Faults {
  /** Connections to the store are broken off. */
  down: boolean
  /** Every answer of the store comes so much later. */
  slowMs: number
  /** The next so many writes take effect, but their answers are lost. */
  loseAnswers: number
  /** The store refuses with its own throttling error. */
  throttled: boolean
  /** The host list shows a change so much later. */
  listLagMs: number
  /** Connections that ask for the host list are broken off. */
  listDown: boolean
}

const tables = Tables.create()
const objects = Objects.create()
const faults: Faults = { down: false, slowMs: 0, loseAnswers: 0, throttled: false, listLagMs: 0, listDown: false }
let hosts: unknown[] = []

const server = createServer((req, res) => {
  route(req, res).catch(() => res.destroy())
})
server.listen(Number(arg('port')), arg('ip', '127.0.0.1'), () => process.stdout.write('ready\n'))

async function route (req: IncomingMessage, res: ServerResponse): Promise<void> {
  const target = String(req.headers['x-amz-target'] ?? '')
  if (req.url === '/hosts') return await hostList(req, res)
  if (req.url === '/faults') return await setFaults(req, res)
  if (req.url === '/counts') return json(res, 200, { tableReads: tables.reads, tableWrites: tables.writes, objectReads: objects.reads, objectWrites: objects.writes })
  if (faults.down) {
    res.destroy()
    return
  }
  if (faults.slowMs > 0) await sleep(faults.slowMs)
  if (target === '') return await objects.handle(req, res)
  await table(target.split('.')[1] ?? '', req, res)
}

async function table (operation: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const body = await bodyOf(req)
  if (faults.throttled) {
    return json(res, 400, { __type: 'com.amazonaws.dynamodb.v20120810#ThrottlingException', message: 'throttled' })
  }
  const answer = tables.handle(operation, JSON.parse(body.toString()))
  const isWrite = operation !== 'GetItem' && operation !== 'Query'
  if (isWrite && faults.loseAnswers > 0) {
    faults.loseAnswers--
    res.destroy()
    return
  }
  json(res, answer.status, answer.body, 'application/x-amz-json-1.0')
}

async function hostList (req: IncomingMessage, res: ServerResponse): Promise<void> {
  if (req.method !== 'PUT') return faults.listDown ? broken(res) : json(res, 200, hosts)
  const next = JSON.parse((await bodyOf(req)).toString()) as unknown[]
  setTimeout(() => { hosts = next }, faults.listLagMs)
  json(res, 200, {})
}

function broken (res: ServerResponse): void {
  res.destroy()
}

async function setFaults (req: IncomingMessage, res: ServerResponse): Promise<void> {
  Object.assign(faults, JSON.parse((await bodyOf(req)).toString()))
  json(res, 200, faults)
}

function json (res: ServerResponse, status: number, body: unknown, type = 'application/json'): void {
  res.writeHead(status, { 'content-type': type }).end(JSON.stringify(body))
}
