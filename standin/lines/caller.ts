/** A caller of the line protocol, for tests. */

import { connect, type Socket } from 'node:net'

interface Options {
  readonly who?: string | undefined
  readonly ip?: string
  /** A statement that is on its way to the host when the end of the session arrives. */
  readonly crossing?: string | undefined
}

/** What the host answers, at some time, with a READY or with the end of the connection. */
const REQUEST = /^(?:START|QUERY) /gm

/** One session. Answers come in the order of the statements. */
export class LineCaller {
  private rest = ''
  private lines: string[] = []
  private wake: (() => void) | undefined
  private ended = false
  /** How many requests have no answer yet. */
  private open = 0

  private constructor (private readonly socket: Socket, private crossing: string | undefined) {
    socket.on('data', chunk => {
      const parts = (this.rest + chunk.toString('latin1')).split('\r\n')
      this.rest = parts.pop()!
      for (const line of parts) this.take(line)
      this.wake?.()
    })
    const end = () => {
      this.ended = true
      this.wake?.()
    }
    socket.on('end', () => {
      this.sessionEnded()
      socket.end()
    })
    socket.on('error', end)
    socket.on('close', end)
  }

  /** The answer to the sign-in is the first that `answer` yields. */
  static open (port: number, database: string, { who = 'u1', ip = '127.0.0.1', crossing }: Options = {}): LineCaller {
    const caller = new LineCaller(connect({ port, host: ip, allowHalfOpen: true }), crossing)
    caller.send(`START ${database} ${who}\r\n`)
    return caller
  }

  send (text: string): void {
    this.open += text.match(REQUEST)?.length ?? 0
    this.socket.write(text, 'latin1')
  }

  /** Reads nothing until `resume`, as behind a link that holds everything back. */
  pause (): void {
    this.socket.pause()
  }

  resume (): void {
    this.socket.resume()
  }

  /** Sends no more, and reads on. */
  finish (): void {
    this.socket.end()
  }

  private take (line: string): void {
    this.lines.push(line)
    if (this.open === 0) this.sessionEnded()
    else if (line.startsWith('READY ')) this.open--
  }

  /** A message that answers nothing, or the end of the connection. */
  private sessionEnded (): void {
    const { crossing } = this
    this.crossing = undefined
    if (crossing === undefined) this.socket.end()
    else this.send(`QUERY crossing ${crossing}\r\n`)
  }

  /** The lines up to the next READY, joined by ` / `; `closed` at the end of the connection. */
  async answer (): Promise<string> {
    const taken: string[] = []
    for (;;) {
      const line = this.lines.shift()
      if (line !== undefined) {
        taken.push(line)
        if (line.startsWith('READY ')) return taken.join(' / ')
        continue
      }
      if (this.ended) return [...taken, 'closed'].join(' / ')
      await new Promise<void>(resolve => { this.wake = resolve })
    }
  }

  /** Sends a statement and waits for its answer. */
  async ask (id: string, text: string): Promise<string> {
    this.send(`QUERY ${id} ${text}\r\n`)
    return await this.answer()
  }

  /** Sends statements one after the other, under one id. */
  async askAll (...texts: string[]): Promise<string[]> {
    const answers: string[] = []
    for (const text of texts) answers.push(await this.ask('q1', text))
    return answers
  }

  leave (): void {
    this.socket.destroy()
  }
}
