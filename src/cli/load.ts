/** `agatepond load`: asks hosts that pool connections by the addresses of their metrics. */

import { loadCommand } from './loadcommand.ts'

export const load = loadCommand()
