/** The reader of audit records in the store that a settings file names. */

import { AuditReader } from '../shell/audit/reader.ts'
import { S3Store } from '../shell/platform/s3store.ts'
import type { settingsOf } from './settingsof.ts'

export function openAuditReader ({ platform }: ReturnType<typeof settingsOf>): AuditReader {
  const { objectStore: url, bucket, region, timeout: timeoutMs } = platform
  return AuditReader.of(S3Store.open({ url, bucket, region, timeoutMs }, new AbortController().signal))
}
