/** Reads the words of one line of a script from left to right. */

import { parseDuration } from '../../src/core/settings/duration.ts'
import { ScriptError } from './scripterror.ts'

interface Word {
  readonly text: string
  readonly line: number
  readonly column: number
}

export class Cursor {
  private at = 0

  private constructor (private readonly words: readonly Word[], private readonly end: Word) {}

  /** The words of a line; what follows a `#` is a comment. Lines and columns count from 1. */
  static of (text: string, line: number): Cursor {
    const code = text.replace(/#.*$/, '')
    const words = [...code.matchAll(/\S+/g)].map(match => ({ text: match[0], line, column: match.index + 1 }))
    return new Cursor(words, { text: 'the end of the line', line, column: code.trimEnd().length + 1 })
  }

  get isAtEnd (): boolean {
    return this.at >= this.words.length
  }

  /** Takes the next word if it's this one. */
  takes (text: string): boolean {
    if (this.words[this.at]?.text !== text) return false
    this.at++
    return true
  }

  /** The next word, which has to be one of these. */
  oneOf<T extends string> (...texts: readonly T[]): T {
    const word = this.peek
    const found = texts.find(text => text === word.text)
    if (found === undefined) throw this.wrong(`"${word.text}" isn't known here`, `write ${texts.join(' or ')}`)
    this.at++
    return found
  }

  matching (pattern: RegExp, remedy: string): string {
    const { text } = this.peek
    if (this.isAtEnd || !pattern.test(text)) throw this.wrong(`"${text}" doesn't fit here`, remedy)
    this.at++
    return text
  }

  duration (): number {
    return parseDuration(this.isAtEnd ? '' : this.peek.text).match(
      ms => {
        this.at++
        return ms
      },
      () => { throw this.wrong(`"${this.peek.text}" isn't a duration`, 'write a number and a unit, such as 250ms or 1.5s') })
  }

  count (): number {
    return Number(this.matching(/^\d+$/, 'write a whole number'))
  }

  rate (): number {
    return Number(this.matching(/^\d+\/s$/, 'write a rate such as 50/s').replace('/s', ''))
  }

  rest (): string {
    const text = this.words.slice(this.at).map(word => word.text).join(' ')
    this.at = this.words.length
    return text
  }

  finish (): void {
    if (!this.isAtEnd) throw this.wrong(`"${this.peek.text}" is too much`, 'end the line before it')
  }

  wrong (problem: string, remedy: string): ScriptError {
    return ScriptError.at(this.peek, problem, remedy)
  }

  private get peek (): Word {
    return this.words[this.at] ?? this.end
  }
}
