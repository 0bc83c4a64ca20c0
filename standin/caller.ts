/** Connections of callers to the proxies of a stage. */

import { createConnection, type Connection, type ConnectionOptions } from 'mysql2/promise'
import type { Stage } from './stage.ts'

/** Signs in at the proxy of that number as the stage's one caller, to the group "shop" unless `change` says otherwise. */
export async function connectCaller (stage: Stage, proxy: number, change: ConnectionOptions = {}): Promise<Connection> {
  const { callers } = stage.proxies[proxy]!
  return await createConnection({ host: '127.0.0.1', port: callers, user: 'app', password: stage.password, database: 'shop', ...change })
}
