/** One line of a process's log. */

import * as z from 'zod'
import { readJson } from '../readjson.ts'

const shape = z.looseObject({
  time: z.iso.datetime(),
  host: z.string(),
  event: z.int(),
  msg: z.string()
})

interface Fields {
  /** Milliseconds since 1970 on the host's clock, which may differ from another host's. */
  readonly at: number
  readonly host: string
  readonly event: number
  readonly message: string
  readonly fields: ReadonlyMap<string, string>
}

/** Fields that every line has and that are shown separately. */
const COMMON = new Set(['time', 'host', 'event', 'msg', 'level'])

/** A parsed line. Immutable. */
export class LogLine implements Fields {
  readonly at: number
  readonly host: string
  readonly event: number
  readonly message: string
  readonly fields: ReadonlyMap<string, string>

  private constructor (fields: Fields) {
    this.at = fields.at
    this.host = fields.host
    this.event = fields.event
    this.message = fields.message
    this.fields = fields.fields
  }

  /** Returns undefined for a line of another format. Text before the first brace, which log collectors add, is ignored. */
  static parse (text: string): LogLine | undefined {
    const begin = text.indexOf('{')
    if (begin < 0) return undefined
    const parsed = shape.safeParse(readJson(text.slice(begin)))
    if (!parsed.success) return undefined
    const { time, host, event, msg } = parsed.data
    const fields = Object.entries(parsed.data).filter(([name]) => !COMMON.has(name)).map(([name, value]) => [name, String(value)] as const)
    return new LogLine({ at: Date.parse(time), host, event, message: msg, fields: new Map(fields) })
  }

  /** Whether the line is about the request or the transaction with this id. */
  isAbout (id: string): boolean {
    return this.fields.get('id') === id || this.fields.get('transaction') === id
  }

  toString (): string {
    const fields = [...this.fields].map(([name, value]) => `${name}=${value.includes(' ') ? JSON.stringify(value) : value}`)
    return `${new Date(this.at).toISOString()} ${this.host} ${this.event} ${this.message}: ${fields.join(' ')}`
  }
}
