/** Fetches the load snapshots of hosts and merges them. */

import { LoadSnapshot } from '../core/pool/load/loadsnapshot.ts'

interface LoadSurvey {
  readonly snapshot: LoadSnapshot
  /** Addresses of hosts without a valid response. */
  readonly silent: readonly string[]
}

/** Hosts that take longer are reported as silent. */
const REQUEST_TIMEOUT_MS = 2000
/** A fleet may have thousands of hosts. */
const MAX_CONCURRENT_REQUESTS = 50

/** `addresses` are like `10.0.0.1:9464`. Never rejects. */
export async function surveyLoad (addresses: readonly string[]): Promise<LoadSurvey> {
  let snapshot = LoadSnapshot.empty
  const silent: string[] = []
  for (let from = 0; from < addresses.length; from += MAX_CONCURRENT_REQUESTS) {
    const batch = addresses.slice(from, from + MAX_CONCURRENT_REQUESTS)
    const responses = await Promise.all(batch.map(ask))
    responses.forEach((response, i) => {
      if (response === undefined) silent.push(batch[i]!)
      else snapshot = snapshot.with(response)
    })
  }
  return { snapshot, silent }
}

async function ask (address: string): Promise<LoadSnapshot | undefined> {
  try {
    const res = await fetch(`http://${address}/load`, { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) })
    return LoadSnapshot.parse(await res.json())
  } catch {
    return undefined
  }
}
