/** What the pages name exists: files, links, commands and npm scripts. */

import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { basename, dirname, join } from 'node:path'
import { describe, expect, it } from 'vitest'

const FOLDERS = ['src', 'test', 'standin', 'demo', 'bench', 'tools', 'scenarios', 'docs', 'examples', 'proto']
/** A path, or a file's name, of a kind that the repository holds; `{a,b}` stands for either. */
const FILE = /^[\w./{},-]+\.(?:ts|mjs|md|toml|json|proto|scenario|txt)$/
const FOLDER = /^(?:src|test|docs|standin|demo|bench|tools|scenarios|examples|proto)\/[\w./{},-]*$/
/** Files that the pages tell users to write. */
const USERS_OWN = ['agatepond.toml', 'change.toml', 'configuration.json']

const files = FOLDERS.flatMap(folder => readdirSync(folder, { recursive: true, encoding: 'utf8' }).map(file => join(folder, file)))
const names = new Set(files.map(file => basename(file)))
const pages = ['README.md', 'CONTRIBUTING.md', ...files.filter(file => file.endsWith('.md'))]

describe.each(pages)('%s', page => {
  const text = readFileSync(page, 'utf8')
  const spans = [...text.matchAll(/`([^`\n]+)`/g)].map(match => match[1]!)
  const code = [...spans, ...[...text.matchAll(/^```\w*\n(.*?)^```/gms)].flatMap(match => match[1]!.split('\n'))]

  it('names files and folders that exist', () => {
    const paths = spans.filter(span => FILE.test(span) || FOLDER.test(span)).flatMap(expand)
    expect(paths.filter(path => !isThere(page, path))).toEqual([])
  })

  it('links to files that exist', () => {
    const links = [...text.matchAll(/\]\(([^)#:]+)(?:#[^)]*)?\)/g)].map(match => match[1]!)
    expect(links.filter(link => !existsSync(join(dirname(page), link)))).toEqual([])
  })

  it('names commands that exist', () => {
    const commands = subcommands()
    const named = code.flatMap(line => [...line.matchAll(/(?:^|\s)agatepond ([a-z]+)/g)].map(match => match[1]!))
    expect(named.filter(name => !commands.includes(name))).toEqual([])
  })

  it('names npm scripts and test files that exist', () => {
    const { scripts } = JSON.parse(readFileSync('package.json', 'utf8')) as { scripts: Record<string, string> }
    const runs = code.flatMap(line => [...line.matchAll(/npm run ([a-z]+)/g)].map(match => match[1]!))
    expect(runs.filter(name => scripts[name] === undefined)).toEqual([])
    const tested = code.flatMap(line => [...line.matchAll(/npx vitest run ([\w./ -]+)/g)].flatMap(match => match[1]!.trim().split(' ')))
    // vitest takes a file whose path contains the argument.
    expect(tested.filter(path => !files.some(file => file.includes(path)))).toEqual([])
  })
})

function expand (path: string): string[] {
  const braces = /\{([^}]*)\}/.exec(path)
  return braces === null ? [path] : braces[1]!.split(',').map(one => path.replace(braces[0], one))
}

/** A page may name a file by its path, from the page's own folder, or by its name alone beside others of its folder. */
function isThere (page: string, path: string): boolean {
  if (existsSync(path) || existsSync(join(dirname(page), path)) || USERS_OWN.includes(path)) return true
  return !path.includes('/') && names.has(path)
}

/** The names in the list of src/cli/main.ts. */
function subcommands (): readonly string[] {
  const cmds = /cmds: \{([^}]*)\}/.exec(readFileSync('src/cli/main.ts', 'utf8'))![1]!
  return cmds.split(',').map(name => name.trim())
}
