/** Reads the settings file of a command, and ends the command if it is invalid. */

import { exitCodes } from './exitcodes.ts'
import { readSettings } from './settingsfile.ts'
import { stop } from './stop.ts'

export function requiredSettings (file: string): ReturnType<ReturnType<typeof readSettings>['_unsafeUnwrap']> {
  return readSettings(file).match(settings => settings, problem => stop(problem, exitCodes.usage))
}
