/** `agatepond status`: shows the configuration version that each host runs. */

import { command } from 'cmd-ts'
import { surveyHosts } from '../shell/config/survey.ts'
import { HttpHostList } from '../shell/platform/httphostlist.ts'
import { openConfigStore } from './configstore.ts'
import { exitCodes } from './exitcodes.ts'
import { readTlsKeys } from './tlskeys.ts'
import { options } from './options.ts'
import { requiredSettings } from './requiredsettings.ts'
import { stop } from './stop.ts'

export const status = command({
  name: 'status',
  description: 'Asks every host of the host list which version it has in force, whether it is ready and what waits for the store.',
  examples: [{ description: 'Is the newest version in force everywhere? Exit code 0 says yes', command: 'agatepond status --settings agatepond.toml' }],
  args: { settings: options.settings, json: options.json },
  handler: async ({ settings: file, json }) => {
    const settings = requiredSettings(file)
    const keys = readTlsKeys(settings)
    const { hostList, timeout } = settings.platform
    const hosts = await HttpHostList.of(hostList, timeout).hosts().catch((err: Error) =>
      stop(`${hostList}: the host list does not answer (${err.message}); run the command again`, exitCodes.unknown))
    const newest = await openConfigStore(settings).newest().then(revision => revision?.version ?? 0, () => undefined)
    const findings = await surveyHosts(hosts, timeout, keys)
    const highest = Math.max(newest ?? 0, ...findings.map(host => host.version))
    const isWhole = findings.every(host => host.state === 'leaving' || (host.isReady && host.version === highest))
    if (json) process.stdout.write(`${JSON.stringify({ newest, isStoreUp: newest !== undefined, hosts: findings })}\n`)
    else print(newest, findings)
    process.exit(isWhole ? exitCodes.done : exitCodes.refused)
  }
})

function print (newest: number | undefined, findings: Awaited<ReturnType<typeof surveyHosts>>): void {
  process.stdout.write(newest === undefined ? 'the store does not answer\n' : `newest version in the store: ${newest}\n`)
  for (const { host, dataCentre, state, version, isReady, notes } of findings) {
    const fields = [host, dataCentre, state, `version ${version}`, isReady ? 'ready' : 'not ready', ...notes]
    process.stdout.write(`${fields.join('  ')}\n`)
  }
}
