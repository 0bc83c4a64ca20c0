/** Opens the object store given in the settings, with a reader for its audit records. */

import { AuditReader } from '../shell/audit/reader.ts'
import type { ObjectStore } from '../shell/platform/objectstore.ts'
import { S3Store } from '../shell/platform/s3store.ts'
import type { requiredSettings } from './requiredsettings.ts'

export function openAuditReader ({ platform }: ReturnType<typeof requiredSettings>): { readonly store: ObjectStore, readonly reader: AuditReader } {
  const { objectStore: url, bucket, region, timeout: timeoutMs } = platform
  const store = S3Store.open({ url, bucket, region, timeoutMs }, new AbortController().signal)
  return { store, reader: AuditReader.of(store) }
}
