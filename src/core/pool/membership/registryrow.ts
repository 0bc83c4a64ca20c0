/** Codec for a host's row in the host registry. */

import * as z from 'zod'
import { readJson } from '../../readjson.ts'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { HostId } from '../../id/host.ts'
import type { HostEntry } from './hostentry.ts'

const KEY_PREFIX = 'hosts/'
/** Tuples keep a row with all hosts of a data centre short: id, data centre, ip, port for sessions, port for links, incarnation, isLeaving, optional capacity. */
const shape = z.array(z.tuple([z.string(), z.string(), z.string(), z.int(), z.int(), z.int(), z.boolean(), z.number().positive().optional()]))

export const registryRow = {
  keyOf: (writer: HostId): string => `${KEY_PREFIX}${writer}`,

  /** The host that wrote the row; undefined for a key of another kind. */
  writerOf: (key: string): HostId | undefined => key.startsWith(KEY_PREFIX) ? key.slice(KEY_PREFIX.length) as HostId : undefined,

  encode: (entries: readonly HostEntry[]): string =>
    JSON.stringify(entries.map(({ id, dataCentre, address: { ip, port }, linkPort, incarnation, isLeaving, capacity }) => [id, dataCentre, ip, port, linkPort, incarnation, isLeaving, ...capacity === undefined ? [] : [capacity]])),

  /** No hosts for a text that can't be parsed, such as one from a later release. */
  decode: (text: string): readonly HostEntry[] => {
    const parsed = shape.safeParse(readJson(text))
    if (!parsed.success) return []
    return parsed.data.map(([id, dataCentre, ip, port, linkPort, incarnation, isLeaving, capacity]) => ({ id: id as HostId, dataCentre: dataCentre as DataCentreId, address: { ip, port }, linkPort, incarnation, isLeaving, capacity }))
  }
}
