/** The order of tokens, and texts that aren't tokens. */

import { describe, expect, it } from 'vitest'
import { Token } from './token.ts'

describe('Token', () => {
  it.each([
    ['2:5', '1:9', true],
    ['2:5', '2:4', true],
    ['2:5', '2:5', false],
    ['1:9', '2:5', false]
  ])('%s is after %s: %s', (a, b, isAfter) => {
    expect(Token.parse(a)!.isAfter(Token.parse(b)!)).toBe(isAfter)
  })

  it.each(['', '1', 'a:b', '1:2:3', '-1:2', '1:9999999999999999'])('refuses %j', text => {
    expect(Token.parse(text)).toBeUndefined()
  })
})
