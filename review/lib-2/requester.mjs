/** A requester that writes at its rate over sessions of its own, and keeps what was acknowledged to it. */

import { connect } from 'node:net'

/** A sign-in without an answer is given up after this, as PROTOCOL.md says. */
const SIGN_IN_MS = 2000
/** How long a requester waits for an answer before it leaves; longer than its deadline. */
const ANSWER_MS = 5000
/** The pause before a sign-in that failed is tried at the next host. */
const RETRY_MS = 100

export class Requester {
  /** Writes that were sent: `data` and `at`. */
  sent = []
  /** Writes that were acknowledged: `data` and `at`. */
  acknowledged = []
  answers = new Map()
  #isStopped = false
  #count = 0

  /** `hosts`: addresses of the fronts; each new session goes to the next one, from `first` on. */
  static start ({ name, hosts, port, database, first, intervalMs, delayMs, note }) {
    const requester = new Requester()
    Object.assign(requester, { name, hosts, port, database, note, intervalMs, next: first, dueAt: performance.now() + delayMs })
    requester.ended = requester.#run()
    return requester
  }

  async stop () {
    this.#isStopped = true
    await this.ended
  }

  async #run () {
    while (!this.#isStopped) {
      const session = await this.#signIn(this.hosts[this.next++ % this.hosts.length])
      if (session === undefined) await pause(RETRY_MS)
      else await this.#serve(session)
    }
  }

  async #signIn (ip) {
    const socket = connect(this.port, ip)
    const lines = []
    const session = { socket, lines, wake: () => {}, isEnded: false }
    let rest = ''
    socket.on('data', chunk => {
      const parts = (rest + chunk.toString('latin1')).split('\r\n')
      rest = parts.pop()
      lines.push(...parts)
      session.wake()
    })
    for (const event of ['error', 'end', 'close']) {
      socket.on(event, () => {
        session.isEnded = true
        session.wake()
      })
    }
    socket.write(`START ${this.database} ${this.name}\r\n`)
    const answer = await answerOf(session, SIGN_IN_MS)
    if (answer?.at(-1)?.startsWith('READY I') === true) return session
    socket.destroy()
    return undefined
  }

  async #serve (session) {
    const { socket } = session
    while (!this.#isStopped && !session.isEnded && session.lines.length === 0) {
      await pause(Math.max(0, this.dueAt - performance.now()))
      this.dueAt = Math.max(this.dueAt + this.intervalMs, performance.now())
      if (this.#isStopped || session.isEnded || session.lines.length > 0) break
      const data = `${this.name}x${++this.#count}`
      const sentAt = performance.now()
      this.sent.push({ data, at: sentAt })
      socket.write(`QUERY ${this.name}q${this.#count} WRITE item${this.#count % 50} ${data}\r\n`)
      this.note(`sent ${data}`)
      const answer = await answerOf(session, ANSWER_MS)
      const [word = 'nothing', detail = ''] = (answer?.[0] ?? '').split(' ')
      const kind = word === 'ERROR' ? detail : word === '' ? 'nothing' : word
      this.answers.set(kind, (this.answers.get(kind) ?? 0) + 1)
      if (word === 'COMPLETE' && detail !== '-') this.acknowledged.push({ data, at: performance.now() })
      this.note(`answered ${data}: ${answer?.join(' / ') ?? 'nothing'}`)
      if (answer === undefined || !answer.at(-1).startsWith('READY I')) break
    }
    socket.destroy()
  }
}

/** The lines up to the next READY; undefined without one in the time. */
async function answerOf (session, ms) {
  const until = performance.now() + ms
  const taken = []
  for (;;) {
    const line = session.lines.shift()
    if (line !== undefined) {
      taken.push(line)
      if (line.startsWith('READY ')) return taken
      continue
    }
    const leftMs = until - performance.now()
    if (session.isEnded || leftMs <= 0) return undefined
    await new Promise(resolve => {
      const timer = setTimeout(resolve, leftMs)
      session.wake = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }
}

async function pause (ms) {
  await new Promise(resolve => setTimeout(resolve, ms))
}
