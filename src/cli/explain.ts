/** `agatepond explain`: explains what happened to a request, from the audit records. */

import { openAuditReader } from './auditreader.ts'
import { explainCommand } from './explaincommand.ts'
import { requiredSettings } from './requiredsettings.ts'

export const explain = explainCommand(settings => openAuditReader(requiredSettings(settings)).reader)
