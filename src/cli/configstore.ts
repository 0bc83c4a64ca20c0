/** Opens the configuration store given in the settings. */

import { ConfigStore } from '../shell/config/store.ts'
import { DynamoTable } from '../shell/platform/dynamotable.ts'
import { S3Store } from '../shell/platform/s3store.ts'
import type { requiredSettings } from './requiredsettings.ts'

export function openConfigStore ({ platform }: ReturnType<typeof requiredSettings>): ConfigStore {
  const { tableService, objectStore, table, bucket, region, timeout: timeoutMs } = platform
  const { signal } = new AbortController()
  return ConfigStore.of(
    DynamoTable.open({ url: tableService, table, region, timeoutMs }, signal),
    S3Store.open({ url: objectStore, bucket, region, timeoutMs }, signal))
}
