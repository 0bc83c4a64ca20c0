/** Creates the command `load`, which shows the load of each group's endpoints, the waiting requests and the busiest teams. */

import { array, command, multioption, option, optional, string } from 'cmd-ts'
import { exitCodes } from './exitcodes.ts'
import { loadLines } from './loadlines.ts'
import { surveyLoad } from './loadsurvey.ts'
import { options } from './options.ts'
import { stop } from './stop.ts'

const USAGE = "name hosts to ask: --at and the address of a host's metrics, such as 10.0.0.1:9464, or on the users' platform --settings and the settings file of a host"

/**
 * `listed` looks up the metrics addresses of all hosts that a settings file's store lists. It ends the command if the
 * store doesn't answer, and is undefined on platforms without such a list.
 */
export function loadCommand (listed?: (settings: string) => Promise<readonly string[]>) {
  return command({
    name: 'load',
    description: "Tells what the groups' endpoints are used for, who waits by class, and which teams ask most and are refused.",
    examples: [{ description: 'What one host sees', command: 'agatepond load --at 10.0.0.1:9464' }],
    args: {
      settings: option({ type: optional(string), long: 'settings', description: 'the settings file of a host: asks all that the store lists' }),
      at: multioption({ type: array(string), long: 'at', description: 'ask only this host, by the address of its metrics; may be repeated' }),
      json: options.json
    },
    handler: async ({ settings, at, json }) => {
      const isListed = at.length === 0 && settings !== undefined
      const addresses = isListed ? await listed?.(settings) ?? [] : at
      if (addresses.length === 0) stop(USAGE, exitCodes.usage)
      const { snapshot, silent } = await surveyLoad(addresses)
      if (snapshot.hosts.length === 0) stop(`no host told of its load: ${silent.join(', ')}; ask one by --at and the address of its metrics`, exitCodes.unknown)
      process.stdout.write(json ? `${JSON.stringify({ ...snapshot.toJSON(), silent })}\n` : `${loadLines(snapshot, silent).join('\n')}\n`)
    }
  })
}
