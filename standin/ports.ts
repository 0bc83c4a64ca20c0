/**
 * Free ports on loopback, for systems that run side by side.
 *
 * Guard against a port that is lost between its choice and its use: ports that the
 * system hands out belong to its range for outgoing connections, so while a
 * process is restarted any connection on the machine can take its port, and the
 * process then fails to listen. Ports below that range are taken by nobody
 * by chance, and of two processes that choose at once only one gets a block: it
 * listens on the block's first port for as long as it lives.
 */

import { createServer, type Server } from 'node:net'

const FIRST = 10_000
const BLOCKS = 220
const BLOCK = 100

let claim: Promise<number> | undefined
let handedOut = 0

/** So many ports of this process's block that nobody listens on now. */
export async function freePorts (count: number): Promise<number[]> {
  claim ??= claimBlock()
  const first = await claim
  const ports: number[] = []
  for (let i = 0; ports.length < count && i < BLOCK * 2; i++) {
    const port = first + 1 + handedOut++ % (BLOCK - 1)
    const server = await listen(port)
    if (server === undefined) continue
    await new Promise(resolve => server.close(resolve))
    ports.push(port)
  }
  if (ports.length < count) throw new Error(`no ${count} free ports in the block at ${first}`)
  return ports
}

async function claimBlock (): Promise<number> {
  for (let i = 0; i < BLOCKS; i++) {
    const first = FIRST + (process.pid + i) % BLOCKS * BLOCK
    const guard = await listen(first)
    if (guard === undefined) continue
    guard.unref()
    return first
  }
  throw new Error('no free block of ports')
}

/** Undefined when the port is taken. */
async function listen (port: number): Promise<Server | undefined> {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(undefined))
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}
