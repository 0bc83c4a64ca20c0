/** Asks every host of the host list for its status and configuration version. */

import { createClient } from '@connectrpc/connect'
import { createGrpcTransport } from '@connectrpc/connect-node'
import { Peer } from '../../gen/peer_pb.ts'
import type { TlsKeys } from '../peer/tlskeys.ts'
import { createPeerSession } from '../peer/tlssession.ts'
import type { HostList } from '../platform/hostlist.ts'

type Host = Awaited<ReturnType<HostList['hosts']>>[number]

interface HostStatus {
  readonly host: string
  readonly dataCentre: string
  readonly state: string
  /** Configuration version; 0 if the host has none or does not respond. */
  readonly version: number
  readonly isReady: boolean
  /** Why it is not ready, and which work waits for the store. */
  readonly notes: readonly string[]
}

/** Never rejects: a host that does not respond within `timeoutMs` is reported as such. */
export async function surveyHosts (hosts: readonly Host[], timeoutMs: number, keys?: TlsKeys): Promise<readonly HostStatus[]> {
  return await Promise.all(hosts.map(async host => await ask(host, timeoutMs, keys)))
}

async function ask ({ id, peers, dataCentre, state }: Host, timeoutMs: number, keys: TlsKeys | undefined): Promise<HostStatus> {
  const client = createClient(Peer, createGrpcTransport(createPeerSession(peers, id, keys)))
  try {
    const { host, version, ready, reason, waiting } = await client.status({}, { timeoutMs })
    const notes = [...reason === '' ? [] : [reason], ...waiting.map(one => `waits: ${one}`)]
    const mismatch = host === id ? [] : [`answers as ${host}; check the host list`]
    return { host: id, dataCentre, state, version, isReady: ready, notes: [...notes, ...mismatch] }
  } catch {
    return { host: id, dataCentre, state, version: 0, isReady: false, notes: ['does not answer'] }
  }
}
