/** Guards against accepting invalid settings and against error lines without a remedy. */

import { describe, expect, it } from 'vitest'
import { parseAddress } from './address.ts'
import { parseDuration } from './duration.ts'
import { parseSettings } from './settings.ts'
import { parseSize } from './size.ts'

const URL = 'http://10.0.0.1:8000'
const base = {
  host: { id: 'host-1', dataCentre: 'dc-1' },
  listen: { callers: '10.0.0.1:1', peers: '10.0.0.1:2', metrics: '10.0.0.1:3' },
  platform: { tableService: URL, objectStore: URL, hostList: URL },
  endpoints: { user: 'u', password: 'p', controlUser: 'c', controlPassword: 'p' }
}

/** Checks the base settings with one key changed, by its path; undefined removes it. */
function check (path: string, value: unknown): string {
  const document = structuredClone(base) as Record<string, Record<string, unknown>>
  const [table, key] = path.split('.') as [string, string | undefined]
  if (key === undefined) document[table] = value as Record<string, unknown>
  else document[table] = { ...document[table], [key]: value }
  return parseSettings(document).match(() => 'ok', problem => problem)
}

describe('settings', () => {
  it.each<[string, unknown, string]>([
    ['host.id', 'host-2', 'ok'],
    ['peers.beat', '100ms', 'ok'],
    ['colour', {}, 'colour: unknown key; remove it or see "Settings" in docs/OPERATIONS.md'],
    ['host.colour', 1, 'host.colour: unknown key; remove it or see "Settings" in docs/OPERATIONS.md'],
    ['host.id', undefined, 'host.id: is missing; write a string'],
    ['host.id', 7, 'host.id: has the wrong type; write a string'],
    ['host.id', 'a b', 'host.id: write a name of letters, digits, "_", "-" and "."'],
    ['host', undefined, 'host: is missing; write a table'],
    ['listen.peers', 'localhost:1', 'listen.peers: "localhost:1" isn\'t an address; write it as "ip:port" by number, such as "10.1.0.7:3306"'],
    ['listen.peers', '10.0.0.1:1', 'listen: "10.0.0.1:1" comes twice; give callers, peers and metrics an address each'],
    ['platform.hostList', 'nowhere', 'platform.hostList: "nowhere" isn\'t an address; write a URL such as "http://10.1.0.9:8000"'],
    ['platform.timeout', '1 s', 'platform.timeout: "1 s" isn\'t a duration; write a number and a unit, such as "250ms" or "1.5s"'],
    ['platform.timeout', 1000, 'platform.timeout: write a duration as text with a unit, such as "250ms" or "1.5s"'],
    ['platform.timeout', '0ms', 'platform.timeout: is zero; write how long the store may take, such as "1s"'],
    ['peers.silent', '300ms', 'peers.silent: is too short for the heartbeat; write at least 600ms or shorten peers.beat'],
    ['peers.tls', { key: 'a', certificate: 'b', authority: 'c' }, 'ok'],
    ['peers.tls', { key: 'a', certificate: 'b' }, 'peers.tls.authority: is missing; write a string'],
    ['audit.buffer', '64MiB', 'ok'],
    ['audit.buffer', 20_000, 'ok'],
    ['audit.buffer', '64MB', 'audit.buffer: "64MB" isn\'t a size; write a whole number and a unit, such as "512KiB" or "64MiB"'],
    ['audit.buffer', true, 'audit.buffer: write a size such as "512KiB" or "64MiB", or a whole number of bytes'],
    ['failover.misses', 0, 'failover.misses: is too small; write at least 1'],
    ['failover.misses', 1.5, 'failover.misses: has the wrong type; write a whole number']
  ])('%s = %j', (path, value, expected) => {
    expect(check(path, value)).toBe(expected)
  })

  it('names every problem at once, unknown keys as well as a missing table', () => {
    const { endpoints: _, ...rest } = base
    const document = { ...rest, colour: {}, host: { ...base.host, shape: 1, size: 2 } }
    expect(parseSettings(document).match(() => '', problems => problems).split('\n').sort()).toEqual([
      'colour: unknown key; remove it or see "Settings" in docs/OPERATIONS.md',
      'endpoints: is missing; write a table',
      'host.shape: unknown key; remove it or see "Settings" in docs/OPERATIONS.md',
      'host.size: unknown key; remove it or see "Settings" in docs/OPERATIONS.md'
    ])
  })

  it.each<[string, number | undefined]>([
    ['250ms', 250], ['1.5s', 1500], ['2m', 120_000], ['1h', 3_600_000], ['1d', 86_400_000], ['5', undefined], ['5 s', undefined], ['-1s', undefined], ['s', undefined]
  ])('duration %s', (text, ms) => expect(parseDuration(text).unwrapOr(undefined as never)).toBe(ms))

  it.each<[string, number | undefined]>([
    ['0B', 0], ['512KiB', 524_288], ['64MiB', 67_108_864], ['1GiB', 1_073_741_824], ['64', undefined], ['64MB', undefined], ['1.5MiB', undefined], ['MiB', undefined]
  ])('size %s', (text, bytes) => expect(parseSize(text).unwrapOr(undefined as never)).toBe(bytes))

  it.each<[string, boolean]>([
    ['10.0.0.1:1', true], ['255.255.255.255:65535', true], ['256.0.0.1:1', false], ['10.0.0.1:65536', false], ['10.0.0.1:0', false], ['10.0.0.1', false], ['::1:1', false]
  ])('address %s', (text, isAddress) => expect(parseAddress(text).isOk()).toBe(isAddress))
})
