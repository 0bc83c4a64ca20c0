/** Parses addresses of settings and configurations: `ip:port`, numeric. */

import { err, ok, type Result } from 'neverthrow'

interface Address {
  readonly ip: string
  readonly port: number
}

const MAX_OCTET = 255
const MAX_PORT = 65_535

/** Parses a text such as `"10.1.0.7:3306"`; the error names the remedy. */
export function parseAddress (text: string): Result<Address, string> {
  const match = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/.exec(text)
  const [octets, port] = [match?.slice(1, 5).map(Number) ?? [], Number(match?.[5])]
  const isWhole = match !== null && octets.every(octet => octet <= MAX_OCTET) && port >= 1 && port <= MAX_PORT
  if (!isWhole) return err(`"${text}" isn't an address; write it as "ip:port" by number, such as "10.1.0.7:3306"`)
  return ok({ ip: octets.join('.'), port })
}
