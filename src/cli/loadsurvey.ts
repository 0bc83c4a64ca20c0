/** Asks hosts for the pictures of their load, and makes one of them. */

import { LoadSnapshot } from '../core/pool/load/loadsnapshot.ts'

interface Surveyed {
  readonly picture: LoadSnapshot
  /** Addresses of those that gave none. */
  readonly silent: readonly string[]
}

/** A host that is slow is one to be looked at; it's told as silent. */
const ANSWER_MS = 2000
/** Questions that are open at a time, since a fleet may have thousands of hosts. */
const AT_ONCE = 50

/** `addresses`: such as `10.0.0.1:9464`. Resolves always. */
export async function surveyLoad (addresses: readonly string[]): Promise<Surveyed> {
  let picture = LoadSnapshot.empty
  const silent: string[] = []
  for (let from = 0; from < addresses.length; from += AT_ONCE) {
    const asked = addresses.slice(from, from + AT_ONCE)
    const told = await Promise.all(asked.map(ask))
    told.forEach((one, i) => {
      if (one === undefined) silent.push(asked[i]!)
      else picture = picture.with(one)
    })
  }
  return { picture, silent }
}

async function ask (address: string): Promise<LoadSnapshot | undefined> {
  try {
    const res = await fetch(`http://${address}/load`, { signal: AbortSignal.timeout(ANSWER_MS) })
    return LoadSnapshot.parse(await res.json())
  } catch {
    return undefined
  }
}
