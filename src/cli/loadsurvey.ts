/** Asks hosts for the pictures of their load, and makes one of them. */

import { LoadSnapshot } from '../core/pool/load/loadsnapshot.ts'

interface LoadSurvey {
  readonly snapshot: LoadSnapshot
  /** Addresses of those that gave none. */
  readonly silent: readonly string[]
}

/** A host that is slow is one to be looked at; it's told as silent. */
const REQUEST_TIMEOUT_MS = 2000
/** Questions that are open at a time, since a fleet may have thousands of hosts. */
const MAX_CONCURRENT_REQUESTS = 50

/** `addresses`: such as `10.0.0.1:9464`. Resolves always. */
export async function surveyLoad (addresses: readonly string[]): Promise<LoadSurvey> {
  let picture = LoadSnapshot.empty
  const silent: string[] = []
  for (let from = 0; from < addresses.length; from += MAX_CONCURRENT_REQUESTS) {
    const asked = addresses.slice(from, from + MAX_CONCURRENT_REQUESTS)
    const told = await Promise.all(asked.map(ask))
    told.forEach((one, i) => {
      if (one === undefined) silent.push(asked[i]!)
      else picture = picture.with(one)
    })
  }
  return { snapshot: picture, silent }
}

async function ask (address: string): Promise<LoadSnapshot | undefined> {
  try {
    const res = await fetch(`http://${address}/load`, { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) })
    return LoadSnapshot.parse(await res.json())
  } catch {
    return undefined
  }
}
