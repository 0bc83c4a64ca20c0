/** `agatepond load`: shows the load of hosts, given the addresses of their metrics. */

import { loadCommand } from './loadcommand.ts'

export const load = loadCommand()
