/** Guards against messages that the other side of a link can't read, which ends the link. */

import { expect, it } from 'vitest'
import type { DataCentreId } from '../../../core/id/datacentre.ts'
import type { HostId } from '../../../core/id/host.ts'
import type { SyncMessage } from '../../../core/pool/membership/syncmessage.ts'
import { messageCodec } from './messagecodec.ts'

const self = { id: 'h1' as HostId, dataCentre: 'z1' as DataCentreId, address: { ip: '10.0.0.1', port: 1 }, linkPort: 2, incarnation: 1, isLeaving: false }
const rows = [{ key: 'config', version: 5, value: 'x' }]

it.each<[string, SyncMessage]>([
  ['follow', { kind: 'follow', self, versions: { config: 4 }, isConfirming: true }],
  ['follow of an earlier program version', { kind: 'follow', self, versions: { config: 4 } }],
  ['alive', { kind: 'alive' }],
  ['an answer to rows', { kind: 'confirm', table: 'config', version: 5, isAnswer: true }],
  ['word of rows from elsewhere', { kind: 'confirm', table: 'config', version: 5, isAnswer: false }],
  ['rows', { kind: 'rows', table: 'config', isWhole: true, rows, version: 5 }],
  ['rows to confirm', { kind: 'rows', table: 'config', isWhole: false, rows, version: 5, isToConfirm: true }],
  ['long rows', { kind: 'rows', table: 'config', isWhole: false, rows: [{ ...rows[0]!, value: 'x'.repeat(70_000) }], version: 5, isToConfirm: true }],
  ['a heartbeat without a table', { kind: 'beat', lateMs: 0, ownLateMs: 0, versions: { config: 4 }, asOf: {} }],
  ['a welcome', { kind: 'welcome', hasTables: true, storeMs: 7 }]
])('%s is read as it was sent', (_, message) => {
  const line = messageCodec.encode(message)
  expect(line.indexOf('\n')).toBe(line.length - 1)
  expect(messageCodec.decode(line.slice(0, -1))).toEqual(message)
})

it.each(['', '{}', '{"kind":"confirm"}', '{"kind":"confirm","table":"other","version":1,"isAnswer":true}', '{"packed":"!"}'])('%s is no message', line => expect(messageCodec.decode(line)).toBeUndefined())
