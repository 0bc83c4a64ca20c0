/** Reads the configuration document of a version. */

import type { ConfigVersion } from '../core/id/version.ts'
import type { Json } from '../core/json.ts'
import type { ConfigStore } from '../shell/config/store.ts'
import { exitCodes } from './exitcodes.ts'
import { readStore } from './readstore.ts'
import { stop } from './stop.ts'

/** Version 0 is the empty configuration before the first patch. Ends the command if the version doesn't exist. */
export async function documentOf (store: ConfigStore, version: number): Promise<Json> {
  if (version === 0) return { groups: [], pools: [] }
  return await readStore(async () => {
    const revision = await store.at(version as ConfigVersion)
    if (revision === undefined) return stop(`version ${version} doesn't exist; see "agatepond history"`, exitCodes.refused)
    return JSON.parse(await store.document(revision)) as Json
  })
}
