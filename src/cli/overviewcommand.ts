/** Creates the command `status` for a platform that stores configuration, hosts, endpoints and leases in tables of its store. */

import { command } from 'cmd-ts'
import type { Endpoint } from '../core/directory/endpoint.ts'
import type { Platform } from '../shell/pool/platform.ts'
import type { Row } from '../core/pool/membership/row.ts'
import { exitCodes } from './exitcodes.ts'
import { options } from './options.ts'
import { registeredHosts } from './registeredhosts.ts'
import { stop } from './stop.ts'

type Stores = Pick<Platform, 'store' | 'config' | 'endpoints'> & { readonly leases: string, readonly hosts: string }

/** `open` returns the stores for a settings file, and ends the command if the settings are invalid. */
export function overviewCommand (open: (settings: string) => Stores) {
  return command({
    name: 'status',
    description: 'Tells what the store holds: the newest configuration, the hosts, the endpoints with their roles, and who replaced a primary last.',
    args: { settings: options.settings },
    handler: async ({ settings }) => {
      const lines = await overview(open(settings))
      process.stdout.write(`${lines.join('\n')}\n`)
    }
  })
}

async function overview ({ store, config, endpoints, leases, hosts }: Stores): Promise<readonly string[]> {
  const signal = new AbortController().signal
  const read = async (table: string): Promise<readonly Row[]> => (await store.read(table, signal)).match(
    ({ rows }) => rows.filter(({ value }) => value !== undefined),
    reason => stop(`the store is ${reason}; run the command again`, exitCodes.unknown))
  const document = (await read(config.table)).find(({ key }) => key === config.key)
  const parsed = document === undefined ? undefined : config.parse(document.value!)
  const version = parsed === undefined ? 'none' : parsed.match(({ version, routes }) => `${version}, ${routes.length} databases`, problem => `unreadable: ${problem}`)
  const listed = (await read(endpoints.table)).map(({ key, value }) => ({ key, endpoint: endpoints.parse(key, value!) }))
  return [
    `newest configuration: ${version}`,
    ...registeredHosts(await read(hosts)).map(({ id, dataCentre, address, isLeaving }) => `host ${id}  ${dataCentre}  ${address.ip}:${address.port}${isLeaving ? '  leaving' : ''}`),
    ...listed.map(({ key, endpoint }) => endpoint === undefined ? `endpoint ${key}  unreadable` : `endpoint ${key}  ${describe(endpoint)}`),
    ...(await read(leases)).map(({ key, value, version }) => `${key}  ${value}  version ${version}`)
  ]
}

function describe ({ group, dataCentre, address, isPrimary, isLeaving }: Endpoint): string {
  return `${group}  ${dataCentre}  ${address.ip}:${address.port}  ${isPrimary ? 'primary' : 'replica'}${isLeaving ? '  leaving' : ''}`
}
