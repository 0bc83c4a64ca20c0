/** Options that several commands share. */

import { flag, option, string } from 'cmd-ts'

export const options = {
  settings: option({ type: string, long: 'settings', description: 'the settings file of a host' }),
  json: flag({ long: 'json', description: 'print one JSON value for machines' })
}
