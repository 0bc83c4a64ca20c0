import { createRequire } from 'node:module'
import { join } from 'node:path'
import { fromBinary } from '@bufbuild/protobuf'
import * as fc from 'fast-check'
import { parse, TomlError } from 'smol-toml'
import { beforeEach, describe, expect, it, vi } from 'vitest'
import { parseScript } from '../scenarios/language/parse.ts'
import { Change } from '../src/core/config/change.ts'
import { parseConfig } from '../src/core/config/document.ts'
import { parseConfigRecord } from '../src/core/config/configrecord.ts'
import type { ConfigVersion } from '../src/core/id/version.ts'
import type { Json } from '../src/core/json.ts'
import { Hints } from '../src/core/routing/hints.ts'
import { findPlaceholders } from '../src/core/routing/placeholders.ts'
import { statementKind } from '../src/core/routing/statementkind.ts'
import { parseSettings } from '../src/core/settings/settings.ts'
import { Token } from '../src/core/token.ts'
import { BatchSchema } from '../src/gen/peer_pb.ts'
import { BinaryRowEncoder } from '../src/shell/mysql/binaryrowencoder.ts'
import { OkPacket } from '../src/shell/mysql/okpacket.ts'
import { QueryCommand } from '../src/shell/mysql/querycommand.ts'
import { PreparedStatement } from '../src/shell/mysql/preparedstatement.ts'

type Incoming = Parameters<typeof OkPacket.read>[0]

const Packet = createRequire(import.meta.url)(join(process.cwd(), 'node_modules/mysql2/lib/packets/packet.js')) as new (id: number, buffer: Buffer, start: number, end: number) => Incoming

const runs = { seed: 6, numRuns: 3000 }
/** So many bytes, so that work that grows with the square doesn't end within a test's time. */
const LONG = 2_000_000

/** Texts made of what the grammar knows, which reach further than random ones. */
function textOf (...words: readonly string[]): fc.Arbitrary<string> {
  return fc.array(fc.oneof(fc.constantFrom(...words), fc.string({ maxLength: 4, unit: 'binary' })), { maxLength: 24 }).map(parts => parts.join(''))
}

const bytes = fc.uint8Array({ maxLength: 80 }).map(array => Buffer.from(array))
const sql = textOf('select ', 'for update', 'set ', '?', "'", '"', '`', '\\', '/*', '*/', '-- ', '#', '\n', 'start transaction', '(', ';', 'once=', 'token=1:2', 'deadline=5s', 'class="urgent"')
const json = fc.jsonValue({ maxDepth: 4 }).map(value => value as Json)
const named = fc.array(fc.record({ id: fc.constantFrom('a', 'b', '__proto__', 'constructor'), remove: fc.boolean(), x: json }, { requiredKeys: ['id'] }), { maxLength: 3 })
const document = fc.oneof(json, fc.dictionary(fc.constantFrom('groups', 'pools', 'callers', 'kinds', '__proto__'), fc.oneof(named as fc.Arbitrary<Json>, json)))

/** Runs the reader; what it throws must be one of its typed errors. */
function only (kinds: ReadonlyArray<new (...args: never[]) => Error>, read: () => unknown): void {
  try {
    read()
  } catch (err) {
    if (!kinds.some(kind => err instanceof kind)) throw err
  }
}

/** The library's packet prints a trace for each length that it can't read. */
beforeEach(() => { vi.spyOn(console, 'trace').mockImplementation(() => undefined) })

describe('any input', () => {
  it.each<[string, fc.Arbitrary<unknown>, (input: never) => void]>([
    ['settings as TOML', textOf('[peers.tls]\n', '[host]\n', 'id = ', '"a"\n', '"1s"', '[[', ']]', '= ', '1', '{', '}', '\n'),
      (text: string) => only([TomlError], () => parseSettings(parse(text)))],
    ['settings as a document', document, (value: Json) => { parseSettings(value) }],
    ['a configuration', document, (value: Json) => { parseConfig(1 as ConfigVersion, value) }],
    ['a record of the store', fc.oneof(fc.string(), fc.json()), (body: string) => { parseConfigRecord(body) }],
    ['a change', fc.tuple(document, document), ([before, change]: [Json, Json]) => { Change.of(change).apply(before) }],
    ['the change between two', fc.tuple(document, document), ([before, after]: [Json, Json]) => { Change.between(before, after) }],
    ['a scenario', textOf('seed ', 'hosts ', 'groups ', 'run ', 'at ', 'from ', 'to ', 'expect ', 'kill ', 'load ', '5s ', '9', 'host-1 ', '\n', '#'), (text: string) => { parseScript(text) }],
    ['hints', sql, (text: string) => { Hints.parse(`/*${text}*/`) }],
    ['a token', textOf('1', ':', '99999999999999999', '-'), (text: string) => { Token.parse(text) }],
    ['a statement', sql, (text: string) => { statementKind(text) }],
    ['parameters', sql, (text: string) => { findPlaceholders(text) }],
    ['values of a prepared statement', fc.tuple(sql, bytes), ([text, payload]: [string, Buffer]) => only([RangeError], () => PreparedStatement.of(1, `?${text}`).bind(payload))],
    ['rows', fc.tuple(fc.array(bytes, { maxLength: 3 }), bytes), ([columns, row]: [Buffer[], Buffer]) => only([RangeError], () => BinaryRowEncoder.of(columns).encode(row))],
    ['rows of each type', fc.tuple(fc.integer({ min: 0, max: 20 }), fc.string({ maxLength: 30 })), ([type, text]: [number, string]) =>
      only([RangeError], () => BinaryRowEncoder.of([Buffer.from([0, 0, 0, 0, 0, 0, 12, 0, 0, 0, 0, 0, 0, type])]).encode(Buffer.concat([Buffer.from([Buffer.byteLength(text)]), Buffer.from(text)])))],
    ['an OK packet', bytes, (payload: Buffer) => only([RangeError], () => OkPacket.read(new Packet(0, payload, 0, payload.length)))],
    ['answers of an endpoint', fc.array(fc.oneof(bytes.map(rest => Buffer.concat([Buffer.from([0]), rest])), bytes.filter(one => one.length > 0)), { maxLength: 4 }), (payloads: Buffer[]) => {
      const calls: string[] = []
      const call = (name: string) => () => { calls.push(name) }
      const query = QueryCommand.of('SELECT 1', { head: call('head'), row: call('row'), ok: call('last'), end: call('last'), error: call('last'), connectionLost: call('last') })
      const wire = { writePacket: () => undefined, destroy: () => undefined } as unknown as Parameters<QueryCommand['execute']>[1]
      query.execute(undefined, wire)
      // Packets begin after a header of four bytes, as on a connection.
      const ended = payloads.some(payload => query.execute(new Packet(0, Buffer.concat([Buffer.alloc(4), payload]), 0, payload.length + 4), wire))
      expect(calls.filter(name => name === 'last').length).toBe(ended ? 1 : 0)
    }],
    ['frames', bytes, (payload: Buffer) => only([Error], () => fromBinary(BatchSchema, payload))]
  ])('%s ends in a value or a typed error', (_, input, read) => {
    fc.assert(fc.property(input, value => { read(value as never) }), runs)
  })
})

describe('long input', () => {
  // A caller sends one statement of a few megabytes that fits a pattern almost. The proxy has one thread, so that
  // a pattern whose work grows with the square of the length stops everybody for minutes.
  it.each<[string, () => unknown]>([
    ['hints without a value', () => Hints.parse(`/*${'a'.repeat(LONG)}*/`)],
    ['comments that never end', () => findPlaceholders('/*'.repeat(LONG / 2))],
    ['strings that never end', () => findPlaceholders(`${"'\\".repeat(LONG / 2)}`)],
    ['doubled quotes', () => findPlaceholders(`'${"''".repeat(LONG / 2)}`)],
    ['blanks and comments before a statement', () => statementKind(`${'/**/ '.repeat(LONG / 5)}/*`)],
    ['an OK packet that says it is longer than it is', () => {
      const payload = Buffer.from([0, 0, 0, 0, 0x40, 0, 0, 0, 254, 255, 255, 255, 255, 255, 255, 15, 0])
      only([RangeError], () => OkPacket.read(new Packet(0, payload, 0, payload.length)))
    }]
  ])('%s is read in time', (_, read) => { expect(read).not.toThrow() })
})
