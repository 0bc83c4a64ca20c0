/** A requester of reads. Each is an operation of one statement, which is tried again in full, at other hosts, as PROTOCOL.md says. */

import { connect } from 'node:net'

/** The deadline of an operation, how often it's tried again in that time, and the pause between two operations. */
const DEADLINE_MS = 4000
const RETRIES = 2
const PAUSE_MS = 1000

export class Reader {
  answers = new Map()
  #isStopped = false
  #count = 0

  static start ({ name, hosts, port, database, item, first, note }) {
    const reader = new Reader()
    Object.assign(reader, { name, hosts, port, database, item, note, next: first })
    reader.ended = reader.#run()
    return reader
  }

  async stop () {
    this.#isStopped = true
    await this.ended
  }

  async #run () {
    while (!this.#isStopped) {
      await this.#operate()
      await new Promise(resolve => setTimeout(resolve, PAUSE_MS))
    }
  }

  async #operate () {
    const until = performance.now() + DEADLINE_MS
    for (let tries = 0; tries <= RETRIES && performance.now() < until; tries++) {
      const ip = this.hosts[this.next++ % this.hosts.length]
      const outcome = await this.#read(ip, until - performance.now())
      this.answers.set(outcome, (this.answers.get(outcome) ?? 0) + 1)
      if (outcome === 'rows') return
    }
  }

  /** Resolves with `rows`, the word of the refusal, or `broken` for a connection that ends, and `nothing` for no answer. */
  async #read (ip, ms) {
    const id = `${this.name}q${++this.#count}`
    return await new Promise(resolve => {
      const socket = connect(this.port, ip)
      let bytes = 0
      let tail = ''
      let isSignedIn = false
      let isSettled = false
      const settle = outcome => {
        if (isSettled) return
        isSettled = true
        clearTimeout(timer)
        socket.destroy()
        this.note(`${id} at ${ip}: ${bytes} bytes, ${outcome}`)
        resolve(outcome)
      }
      const timer = setTimeout(() => settle('nothing'), ms)
      socket.on('error', () => settle('broken'))
      socket.on('close', () => settle('broken'))
      socket.on('data', chunk => {
        bytes += chunk.length
        tail = (tail + chunk.toString('latin1')).slice(-500)
        if (!isSignedIn && tail.startsWith('READY ')) {
          isSignedIn = true
          tail = ''
          socket.write(`QUERY ${id} READ ${this.item}\r\n`)
          return
        }
        const [, word] = /ERROR ([A-Z]+)/.exec(tail) ?? []
        if (word !== undefined) return settle(word)
        if (/COMPLETE [^-].*\r\nREADY I [^\r]*\r\n$/.test(tail)) settle('rows')
      })
      socket.write(`START ${this.database} ${this.name}\r\n`)
    })
  }
}
