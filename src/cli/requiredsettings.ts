/** The settings for a command, which ends when they are wrong. */

import { exitCodes } from './exitcodes.ts'
import { readSettings } from './settingsfile.ts'
import { stop } from './stop.ts'

export function requiredSettings (file: string): ReturnType<ReturnType<typeof readSettings>['_unsafeUnwrap']> {
  return readSettings(file).match(settings => settings, problem => stop(problem, exitCodes.usage))
}
