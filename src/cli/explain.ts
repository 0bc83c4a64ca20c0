/** `agatepond explain`: tells what happened to a request, from the audit records. */

import { openAuditReader } from './auditreader.ts'
import { explainCommand } from './explaincommand.ts'
import { settingsOf } from './settingsof.ts'

export const explain = explainCommand(settings => openAuditReader(settingsOf(settings)).reader)
