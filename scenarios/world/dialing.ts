/** Puts fake connections behind `EndpointConnection.open` while a run lasts, for the shell's code that a run calls as it stands. */

import { EndpointConnection } from '../../src/shell/endpoint/connection.ts'
import type { Wire } from './wire.ts'

type Address = Parameters<typeof EndpointConnection.open>[0]

export async function withDialing<T> (dial: (address: Address) => Promise<Wire>, run: () => Promise<T>): Promise<T> {
  const { open } = EndpointConnection
  EndpointConnection.open = async address => await dial(address) as unknown as EndpointConnection
  try {
    return await run()
  } finally {
    EndpointConnection.open = open
  }
}
