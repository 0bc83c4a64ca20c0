/** Free ports on loopback. */

import { createServer, type AddressInfo } from 'node:net'

/** Asks the system for so many ports that nobody listens on now. */
export async function freePorts (count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, async () =>
    await new Promise<ReturnType<typeof createServer>>(resolve => {
      const server = createServer().listen(0, '127.0.0.1', () => resolve(server))
    })))
  const ports = servers.map(server => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(async server => await new Promise(resolve => server.close(resolve))))
  return ports
}
