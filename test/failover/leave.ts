/** Marks endpoints as leaving, as operators do it. */

import type { Stage } from '../../standin/stage.ts'

interface Document {
  readonly groups: readonly { readonly endpoints: readonly { readonly id: string }[] }[]
}

/** Patches the stage's first configuration, or the one numbered `base`, so that just this endpoint is leaving. */
export async function leave (stage: Stage, endpoint: string, base = 1): Promise<void> {
  const config = stage.config() as Document
  const groups = config.groups.map(group => ({
    ...group,
    endpoints: group.endpoints.map(one => ({ ...one, leaving: one.id === endpoint }))
  }))
  const { code, stderr } = await stage.patch(base, { ...config, groups })
  if (code !== 0) throw new Error(stderr)
}
