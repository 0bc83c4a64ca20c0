/** The audit of a process that records nothing. */

import type { Audit } from './audit.ts'

const trail: ReturnType<Audit['begin']> = { attempted: () => undefined, end: done => done }

export const silentAudit: Audit = { begin: () => trail, flush: async () => await Promise.resolve() }
