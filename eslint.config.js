/** Standard style, whose layout rules are the formatter, and three rules of the house. */

import neostandard from 'neostandard'
import headComment from './tools/headcomment.mjs'
import oneExport from './tools/oneexport.mjs'
import platformNames from './tools/platformnames.mjs'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'src/gen/**', 'node_modules/**'] }),
  {
    files: ['src/**/*.ts', 'platform/**/*.ts', 'standin/**/*.ts', 'bench/**/*.ts', 'demo/**/*.ts', 'scenarios/**/*.ts'],
    ignores: ['src/gen/**'],
    plugins: { house: { rules: { ...oneExport.rules, ...headComment.rules, ...platformNames.rules } } },
    rules: { 'house/one-export': 'error' }
  },
  {
    files: ['src/**/*.ts', 'platform/**/*.ts', 'standin/**/*.ts', 'bench/**/*.ts', 'demo/**/*.ts', 'scenarios/**/*.ts'],
    ignores: ['src/gen/**', 'scenarios/**/*.test.ts', 'standin/**/*.test.ts', 'bench/**/*.test.ts'],
    rules: { 'house/head-comment': 'error' }
  },
  {
    files: ['src/**/*.ts', 'scenarios/**/*.ts', 'bench/**/*.ts', 'demo/**/*.ts'],
    rules: { 'house/platform-names': 'error' }
  }
]
