/** A relay of TCP connections that can lose track of the open ones: they stay open, and no byte passes any more. */

import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

export class Relay {
  private readonly open = new Set<{ isSilent: boolean, readonly ends: readonly Socket[] }>()

  private constructor (private readonly server: Server) {}

  static async to (port: number): Promise<Relay> {
    const server = createServer()
    const it = new Relay(server)
    server.on('connection', socket => it.take(socket, connect(port, '127.0.0.1')))
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    return it
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Every connection that is open now goes silent; later ones work. */
  silence (): void {
    for (const pair of this.open) pair.isSilent = true
  }

  close (): void {
    this.server.close()
    for (const { ends } of this.open) for (const end of ends) end.destroy()
  }

  private take (near: Socket, far: Socket): void {
    const pair = { isSilent: false, ends: [near, far] }
    this.open.add(pair)
    for (const [from, to] of [[near, far], [far, near]] as const) {
      from.on('data', bytes => { if (!pair.isSilent) to.write(bytes) })
      from.on('error', () => undefined)
      from.on('close', () => {
        this.open.delete(pair)
        to.destroy()
      })
    }
  }
}
