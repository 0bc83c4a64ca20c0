import { execFile } from 'node:child_process'
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, describe, expect, it } from 'vitest'
import { readPatch } from '../src/cli/patchfile.ts'
import { readSettings } from '../src/cli/settingsfile.ts'
import { Change } from '../src/core/config/change.ts'
import { parseConfig } from '../src/core/config/document.ts'
import type { ConfigVersion } from '../src/core/id/version.ts'
import type { Json } from '../src/core/json.ts'

const dir = mkdtempSync(join(tmpdir(), 'agatepond-cli-'))
afterAll(() => rmSync(dir, { recursive: true }))

interface Ended {
  readonly code: number
  readonly stdout: string
  readonly stderr: string
}

async function run (...args: readonly string[]): Promise<Ended> {
  return await new Promise(resolve => {
    execFile(process.execPath, ['dist/agatepond.cjs', ...args], (err, stdout, stderr) => resolve({ code: Number(err?.code ?? 0), stdout, stderr }))
  })
}

function fileOf (name: string, text: string): string {
  const file = join(dir, name)
  writeFileSync(file, text)
  return file
}

describe('the examples', () => {
  const files = readdirSync('examples')

  it('are settings and configurations that the program takes', () => {
    for (const file of files.filter(name => name.endsWith('.toml') && name !== 'change.toml')) {
      expect(readSettings(`examples/${file}`).mapErr(String).isOk(), file).toBe(true)
    }
    for (const file of files.filter(name => name.endsWith('.json'))) {
      const document = readPatch(`examples/${file}`)._unsafeUnwrap()
      expect(parseConfig(1 as ConfigVersion, document).match(() => 'ok', problem => problem), file).toBe('ok')
    }
  })

  it('hold a change that applies', () => {
    const base = readPatch('examples/swanbourne.json')._unsafeUnwrap()
    const { change } = readPatch('examples/change.toml')._unsafeUnwrap() as { readonly change: Json }
    const after = Change.of(change).apply(base)._unsafeUnwrap()
    const config = parseConfig(2 as ConfigVersion, after)._unsafeUnwrap()
    expect(config.groups.map(group => group.connectionsPerSlot)).toEqual([20, 16, 16])
    expect(config.pools[0]!.callers.map(caller => caller.id)).not.toContain('planners')
  })
})

describe('a settings file', () => {
  const good = readFileSync('examples/swanbourne.toml', 'utf8')

  it.each<[string, string, RegExp]>([
    ['wrong TOML', good.replace('id = "perth-a-1"', 'id = perth'), /:4:\d+: .*; write the line as TOML$/],
    ['an unknown key', good.replace('misses = 2', 'miss = 2'), /: failover\.miss: unknown key; remove it or see "Settings" in docs\/OPERATIONS\.md$/],
    ['a wrong unit', good.replace('"150ms"', '"150 msec"'), /: failover\.probeTimeout: "150 msec" isn't a duration; write a number and a unit/],
    ['a missing table', good.replace(/\[endpoints\][^[]*/, ''), /: endpoints: is missing; write a table$/]
  ])('with %s is one line with file, key, fault and remedy', (name, text, expected) => {
    const file = fileOf(`${name}.toml`, text)
    const problem = readSettings(file)._unsafeUnwrapErr()
    expect(problem.startsWith(file)).toBe(true)
    expect(problem).not.toContain('\n')
    expect(problem.slice(file.length)).toMatch(expected)
  })
})

describe('the command line', () => {
  const broken = fileOf('broken.toml', '[host]\nid = 7\n')

  it.each<[string, readonly string[], number, RegExp]>([
    ['checks settings', ['check', 'examples/statens.toml'], 0, /^examples\/statens\.toml: ok$/m],
    ['starts nothing on wrong settings', ['serve', '--settings', broken], 2, /broken\.toml: host\.id: has the wrong type; write a string/],
    ['names a missing file', ['check', 'none.toml'], 2, /none\.toml: there is no such file; name the settings file/],
    ['refuses an unknown option', ['patch', '--colour'], 2, /colour/],
    ['refuses an unknown command', ['paint'], 2, /paint/],
    ['refuses a base that is not a version', ['patch', '--settings', 'examples/statens.toml', '--base', '-1', 'examples/statens.json'], 2, /not a version/],
    ['refuses a patch that is not JSON', ['patch', '--settings', 'examples/statens.toml', '--base', '0', 'README.md'], 2, /README\.md: .*; write the patch as JSON/],
    ['prints its version', ['version'], 0, /^agatepond \d+\.\d+\.\d+/],
    ['prints help', ['--help'], 0, /patch/]
  ])('%s', async (_, args, code, expected) => {
    const ended = await run(...args)
    expect(ended.stdout + ended.stderr).toMatch(expected)
    expect(ended.code).toBe(code)
  })

  it.each(['serve', 'check', 'patch', 'history', 'show', 'diff', 'status', 'load', 'version'])('%s --help has an example', async command => {
    const { code, stdout } = await run(command, '--help')
    expect(code).toBe(0)
    expect(stdout).toContain(`agatepond ${command}`)
    expect(stdout).toMatch(/examples?/i)
  })
})
