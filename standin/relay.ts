/** A TCP relay whose connections can go silent for good, as when a firewall or a balancer loses track of them. */

import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

interface Pair {
  readonly client: Socket
  readonly server: Socket
  isSilent: boolean
}

/** Relays from its own port on loopback to another. New connections always work. */
export class Relay {
  private readonly pairs = new Set<Pair>()

  private constructor (private readonly listener: Server, private readonly target: number) {}

  static async listen (target: number): Promise<Relay> {
    const listener = createServer()
    const it = new Relay(listener, target)
    listener.on('connection', client => it.take(client))
    await new Promise<void>(resolve => { listener.listen(0, '127.0.0.1', resolve) })
    return it
  }

  get port (): number {
    return (this.listener.address() as AddressInfo).port
  }

  /** From now on the open connections take bytes and pass none on, and tell neither end of anything. Yields their number. */
  silence (): number {
    const open = [...this.pairs].filter(pair => !pair.isSilent)
    for (const pair of open) pair.isSilent = true
    return open.length
  }

  close (): void {
    this.listener.close()
    for (const { client, server } of this.pairs) {
      client.destroy()
      server.destroy()
    }
  }

  private take (client: Socket): void {
    const server = connect(this.target, '127.0.0.1')
    const pair: Pair = { client, server, isSilent: false }
    this.pairs.add(pair)
    this.pass(pair, client, server)
    this.pass(pair, server, client)
  }

  private pass (pair: Pair, from: Socket, to: Socket): void {
    from.on('data', bytes => { if (!pair.isSilent) to.write(bytes) })
    from.on('error', () => undefined)
    from.on('close', () => {
      if (pair.isSilent) return
      this.pairs.delete(pair)
      to.destroy()
    })
  }
}
