/** Where a run's proxy finds the endpoints of a group. */

import type { Config } from '../../src/core/config/config.ts'
import type { SlotOwner } from '../../src/shell/endpoint/owner.ts'

type Addresses = Parameters<typeof SlotOwner.start>[0]['addresses']

/** The user names the process, so that the run knows who opens a connection. */
export function addressesOf (group: Config['groups'][number], user: string, connectMs: number): Addresses {
  return new Map(group.endpoints.map(({ id, address }) => {
    const place = { ip: '127.0.0.1', port: Number(address.split(':')[1]), database: group.database, connectMs, user, password: '' }
    return [id, { data: place, control: place }]
  }))
}
