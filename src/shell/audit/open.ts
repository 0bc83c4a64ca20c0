/** Creates the `Audit` that the settings select. */

import type { HostId } from '../../core/id/host.ts'
import type { parseSettings } from '../../core/settings/settings.ts'
import { S3Store } from '../platform/s3store.ts'
import type { Audit } from './audit.ts'
import { Recorder } from './recorder.ts'
import { noopAudit } from './noop.ts'

type Settings = ReturnType<ReturnType<typeof parseSettings>['_unsafeUnwrap']>
type Options = Omit<Parameters<typeof Recorder.start>[0], 'host' | 'store' | 'limits'> & { readonly settings: Settings }

const INCARNATION_DIGITS = 12

/**
 * The audit ends with `flush`, not with the process's abort signal, so that
 * requests recorded while the process drains are still stored.
 */
export function openAudit ({ settings, incarnation, ...rest }: Options): Audit {
  const { audit, host, platform } = settings
  if (!audit.enabled) return noopAudit
  const signal = new AbortController().signal
  const { objectStore: url, bucket, region, timeout: timeoutMs } = platform
  return Recorder.start({
    ...rest,
    host: host.id as HostId,
    incarnation: incarnation.replaceAll('-', '').slice(0, INCARNATION_DIGITS),
    store: S3Store.open({ url, bucket, region, timeoutMs }, signal),
    limits: { records: audit.records, bytes: audit.bytes, ageMs: audit.age, bufferBytes: audit.buffer }
  }, signal)
}
