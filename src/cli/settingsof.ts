/** The settings for a command, which ends when they are wrong. */

import { exit } from './exit.ts'
import { readSettings } from './settingsfile.ts'
import { stop } from './stop.ts'

export function settingsOf (file: string): ReturnType<ReturnType<typeof readSettings>['_unsafeUnwrap']> {
  return readSettings(file).match(settings => settings, problem => stop(problem, exit.usage))
}
