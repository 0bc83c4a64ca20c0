/** Encodes and decodes load reports. */

import * as z from 'zod'
import { readJson } from '../../readjson.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { GroupId } from '../../id/group.ts'
import type { HostId } from '../../id/host.ts'
import type { EndpointLoad } from './endpointload.ts'
import type { LoadReport } from './loadreport.ts'

/** Keeps a report within one unfragmented datagram, at about 60 bytes for each endpoint. */
const MAX_ENDPOINTS = 20

/** Tuples to save bytes: endpoint, at work, waiting, response time in milliseconds, failure rate. */
const endpointShape = z.tuple([z.string(), z.int().nonnegative(), z.int().nonnegative(), z.number().nonnegative().nullable(), z.number().min(0).max(1)])
/** Host, group, incarnation, sequence number, endpoints. */
const shape = z.tuple([z.string(), z.string(), z.int(), z.int().nonnegative(), z.array(endpointShape).max(MAX_ENDPOINTS)])

export const reportCodec = {
  /** If there are more endpoints than fit, includes those with the most load. */
  encode: ({ incarnation, load: { host, group, sequence, endpoints } }: LoadReport): string => {
    const most = [...endpoints].sort((a, b) => b.atWork + b.waiting - a.atWork - a.waiting).slice(0, MAX_ENDPOINTS)
    return JSON.stringify([host, group, incarnation, sequence, most.map(encodeEndpoint)])
  },

  /** Undefined for a text that can't be decoded, such as that of another program. */
  decode: (text: string): LoadReport | undefined => {
    const parsed = shape.safeParse(readJson(text))
    if (!parsed.success) return undefined
    const [host, group, incarnation, sequence, endpoints] = parsed.data
    return {
      incarnation,
      load: {
        host: host as HostId,
        group: group as GroupId,
        sequence,
        endpoints: endpoints.map(([id, atWork, waiting, answerMs, failing]) => ({ endpoint: id as EndpointId, atWork, waiting, answerMs: answerMs ?? undefined, failing }))
      }
    }
  }
}

function encodeEndpoint ({ endpoint, atWork, waiting, answerMs, failing }: EndpointLoad): z.input<typeof endpointShape> {
  return [endpoint, atWork, waiting, answerMs === undefined ? null : Math.round(answerMs * 10) / 10, Math.round(failing * 1000) / 1000]
}
