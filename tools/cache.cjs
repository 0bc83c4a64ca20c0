/**
 * Writes the code cache of the program that is given: `node tools/cache.cjs FILE`.
 *
 * The program is run on settings that are empty, which it refuses and ends, so
 * that the functions that run at every start are compiled and come into the cache.
 */

'use strict'

const { readFileSync, writeFileSync } = require('node:fs')
const { resolve } = require('node:path')
const { Script } = require('node:vm')

/** What the program ends with when it refuses its settings. */
const REFUSED = 2

const filename = resolve(process.argv[2])
const script = new Script(readFileSync(filename, 'utf8'), { filename })
process.env.AGATEPOND_CONFIG = '/dev/null'
process.argv.splice(2)
process.stderr.write = () => true
process.on('exit', code => {
  if (code !== REFUSED) return
  writeFileSync(`${filename}.cache`, script.createCachedData())
  process.exitCode = 0
})
script.runInThisContext()({}, require, {}, filename, __dirname)
