/** Replication between stand-in endpoints: lines of JSON over TCP, from the primary to those that follow it. */

import { connect, createServer, type Socket } from 'node:net'
import { createInterface } from 'node:readline'
import type { Entry } from './entry.ts'
import type { Server } from './server.ts'

const IDLE_MS = 200
const RETRY_MS = 50

/** Serves this server's log to followers, and follows another when told to. */
export class Replication {
  private upstream: Socket | undefined
  private target: { readonly address: string, readonly term: number } | undefined
  private readonly followers = new Set<Socket>()
  /** A cut server neither sends nor takes entries; its other connections live. */
  private cut = false

  private constructor (private readonly server: Server) {}

  static listen (server: Server, ip: string, port: number): Replication {
    const it = new Replication(server)
    createServer(socket => it.serve(socket)).listen(port, ip)
    return it
  }

  follow (address: string, term: number): void {
    this.target = { address, term }
    this.upstream?.destroy()
    this.dial()
  }

  stop (): void {
    this.target = undefined
    this.upstream?.destroy()
  }

  setCut (value: boolean): void {
    this.cut = value
    if (!value) return
    this.upstream?.destroy()
    for (const follower of this.followers) follower.destroy()
  }

  private dial (): void {
    const { target } = this
    if (target === undefined) return
    const retry = (): void => {
      setTimeout(() => { if (this.target === target) this.dial() }, RETRY_MS)
    }
    if (this.cut) return retry()
    const [ip, port] = target.address.split(':')
    const socket = connect(Number(port), ip)
    this.upstream = socket
    socket.on('error', () => undefined)
    socket.on('close', retry)
    socket.on('connect', () => socket.write(JSON.stringify({ term: target.term }) + '\n'))
    createInterface({ input: socket }).on('line', line => {
      if (this.target !== target) return
      const message = JSON.parse(line) as { starts?: [], entry?: Entry }
      if (message.starts !== undefined) {
        this.server.align(target.term, message.starts)
        socket.write(JSON.stringify({ from: this.server.received }) + '\n')
      }
      if (message.entry !== undefined) this.server.receive(target.term, message.entry)
    }).on('error', () => undefined)
  }

  private serve (socket: Socket): void {
    if (this.cut) {
      socket.destroy()
      return
    }
    this.followers.add(socket)
    socket.on('error', () => undefined)
    socket.on('close', () => this.followers.delete(socket))
    let term = 0
    createInterface({ input: socket }).on('line', line => {
      const message = JSON.parse(line) as { term?: number, from?: number }
      if (message.term !== undefined) {
        term = message.term
        return this.greet(socket, term)
      }
      if (message.from !== undefined) this.stream(socket, term, message.from)
    }).on('error', () => undefined)
  }

  private greet (socket: Socket, term: number): void {
    if (!this.server.serves(term)) {
      socket.destroy()
      return
    }
    socket.write(JSON.stringify({ starts: this.server.status.starts }) + '\n')
  }

  private async stream (socket: Socket, term: number, from: number): Promise<void> {
    let sent = from
    while (!socket.destroyed) {
      if (!this.server.serves(term)) {
        socket.destroy()
        return
      }
      for (const entry of this.server.entriesFrom(sent)) {
        socket.write(JSON.stringify({ entry }) + '\n')
        sent = entry.position
      }
      await this.server.nextChange(IDLE_MS)
    }
  }
}
