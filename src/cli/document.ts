/** The document of a version, for commands that show or compare it. */

import type { ConfigVersion } from '../core/id/version.ts'
import type { Json } from '../core/json.ts'
import type { ConfigStore } from '../shell/config/store.ts'
import { exitCodes } from './exitcodes.ts'
import { readStore } from './readstore.ts'
import { stop } from './stop.ts'

/** Version 0 is what there is before the first patch. */
export async function documentOf (store: ConfigStore, version: number): Promise<Json> {
  if (version === 0) return { groups: [], pools: [] }
  return await readStore(async () => {
    const revision = await store.at(version as ConfigVersion)
    if (revision === undefined) return stop(`version ${version} doesn't exist; see "agatepond history"`, exitCodes.refused)
    return JSON.parse(await store.document(revision)) as Json
  })
}
