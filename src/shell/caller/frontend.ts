/** Authenticates callers, assigns each a pool and a group, and creates its connection handler. */

import { randomUUID } from 'node:crypto'
import type { SessionId } from '../../core/id/session.ts'
import type { CommandHandler } from '../mysql/commandhandler.ts'
import type { Login } from '../mysql/login.ts'
import { CallerConnection } from './connection.ts'
import type { CallerContext } from './context.ts'
import type { SessionReadRouter } from './sessionreadrouter.ts'

const ER_ACCESS_DENIED = 1045
const ER_DBACCESS_DENIED = 1044
const ER_SERVER_SHUTDOWN = 1053

/** Resolves with the handler for the caller's commands, or with the MySQL error for a refused login. */
export async function acceptCaller (context: CallerContext, reads: SessionReadRouter, login: Login): Promise<CommandHandler | { readonly code: number, readonly message: string }> {
  const config = context.config()
  if (config === undefined) return { code: ER_SERVER_SHUTDOWN, message: 'this proxy has no configuration yet; try another' }
  const poolsOfUser = config.pools.filter(pool => pool.callers.some(caller => caller.id === login.user))
  const isKnown = poolsOfUser.some(pool => pool.callers.some(caller => caller.id === login.user && login.verifyPassword(caller.passwordHash)))
  if (!isKnown) return { code: ER_ACCESS_DENIED, message: `Access denied for user '${login.user}'@'${login.address}'` }
  for (const pool of poolsOfUser) {
    const group = config.groups.find(one => pool.groups.includes(one.id) && (login.database === '' || one.database === login.database))
    if (group === undefined) continue
    const name = login.attributes.agatepond_session
    const session = (name ?? randomUUID()) as SessionId
    const isNamed = name !== undefined
    if (!isNamed) context.sessions.keep(session)
    return CallerConnection.create(context, reads, { pool, group, caller: login.user, session, isNamed })
  }
  return { code: ER_DBACCESS_DENIED, message: `Access denied for user '${login.user}'@'${login.address}' to database '${login.database}'` }
}
