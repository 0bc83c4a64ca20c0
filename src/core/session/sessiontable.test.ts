/** Guards against evicting the only record of a connection's writes. */

import { describe, expect, it } from 'vitest'
import type { GroupId } from '../id/group.ts'
import type { SessionId } from '../id/session.ts'
import { Token } from '../token.ts'
import { Session } from './session.ts'
import { SessionTable } from './sessiontable.ts'

const GROUP = 'g' as GroupId
const id = (name: string): SessionId => name as SessionId
const createSession = (name: string): Session => Session.create(id(name)).with(GROUP, Token.of(1, 5))

describe('SessionTable', () => {
  it('evicts the least recently used named session', () => {
    const sessions = SessionTable.create(2)
    for (const name of ['a', 'b']) sessions.set(createSession(name))
    sessions.get(id('a'))
    sessions.set(createSession('c'))
    expect(['a', 'b', 'c'].map(name => sessions.get(id(name)).token(GROUP).position)).toEqual([5, 0, 5])
  })

  // A connection without a named session must read its own write even after many named sessions were added.
  it('keeps the row of a connection until it closes', () => {
    const sessions = SessionTable.create(2)
    sessions.keep(id('own'))
    sessions.set(createSession('own'))
    for (let i = 0; i < 1000; i++) sessions.set(createSession(`s${i}`))
    expect(sessions.get(id('own')).token(GROUP).position).toBe(5)
    sessions.forget(id('own'))
    expect(sessions.get(id('own')).token(GROUP).position).toBe(0)
    expect(sessions.size).toBe(2)
  })
})
