/**
 * Searches logs for the keys of a configuration: `node tools/keysinlog.mjs CONFIG LOG...`.
 *
 * CONFIG is the operator's document, JSON or TOML, whose lists `apiKeys` or `keys` hold them at any depth, or a text file (`.txt`) with
 * one key a line. Each is looked for as it's written, and as base64, base64url, hex and in a URL. Ends with 0 when none is found, with 1
 * when one is, and with 2 when there is nothing to search, so that a wrong file doesn't pass for a clean log.
 */

import { createReadStream, readFileSync } from 'node:fs'
import { createInterface } from 'node:readline'
import { parse } from 'smol-toml'

const FOUND = 1
const USAGE = 2
/** Places that are told; the rest are counted. */
const MOST_TOLD = 20

const [config, ...logs] = process.argv.slice(2)
if (config === undefined || logs.length === 0) end('say which: node tools/keysinlog.mjs CONFIG LOG...', USAGE)
const keys = [...new Set(keysOf(readFileSync(config, 'utf8')))]
if (keys.length === 0) end(`${config} holds no keys; give the operator's document, or a .txt file with one key a line`, USAGE)
const forms = keys.flatMap((key, i) => formsOf(key).map(([form, text]) => ({ key: i + 1, form, text })))

let lines = 0
const places = []
for (const log of logs) {
  let number = 0
  for await (const line of createInterface({ input: createReadStream(log), crlfDelay: Infinity })) {
    number++
    for (const { key, form, text } of forms) if (line.includes(text)) places.push(`${log}:${number}: key ${key} of ${keys.length}, ${form}`)
  }
  lines += number
}
if (lines === 0) end(`${logs.join(', ')}: no lines, so nothing was searched`, USAGE)
// The key itself isn't told: this output goes into logs, too.
for (const place of places.slice(0, MOST_TOLD)) process.stdout.write(`${place}\n`)
end(`${places.length} places with one of ${keys.length} keys in ${lines} lines`, places.length === 0 ? 0 : FOUND)

function keysOf (text) {
  if (config.endsWith('.txt')) return text.split('\n').map(line => line.trim()).filter(line => line !== '')
  return [...keysIn(config.endsWith('.toml') ? parse(text) : JSON.parse(text))]
}

function * keysIn (value) {
  if (typeof value !== 'object' || value === null) return
  for (const [name, inner] of Object.entries(value)) {
    const isList = (name === 'apiKeys' || name === 'keys') && Array.isArray(inner)
    if (isList) yield * inner.filter(key => typeof key === 'string' && key !== '')
    yield * keysIn(inner)
  }
}

function formsOf (key) {
  const bytes = Buffer.from(key)
  const all = [['as it is', key], ['in JSON', JSON.stringify(key).slice(1, -1)], ['in a URL', encodeURIComponent(key)], ['as hex', bytes.toString('hex')], ['as base64url', bytes.toString('base64url')], ['as base64', bytes.toString('base64')]]
  return all.filter(([, text], i) => all.findIndex(([, other]) => other === text) === i)
}

function end (message, code) {
  process.stdout.write(`${message}\n`)
  process.exit(code)
}
