/** A connection on which two hosts exchange messages. */

import { connect, type Socket } from 'node:net'
import { StringDecoder } from 'node:string_decoder'
import type { LinkId } from '../../../core/pool/membership/linkid.ts'
import type { SyncMessage } from '../../../core/pool/membership/syncmessage.ts'
import { messageCodec } from './messagecodec.ts'

interface Listeners {
  readonly onOpen?: () => void
  readonly onMessage: (message: SyncMessage) => void
  /** Called when something arrived and the last message isn't whole yet. */
  readonly onPart?: () => void
  /** Called once when the connection ends, but not after `close`. */
  readonly onEnd: () => void
}

/** Enough for a compressed configuration with a hundred thousand databases. */
const MAX_LINE_CHARACTERS = 16_777_216

/** Uses plain TCP with lines, without an RPC library, whose modules would lengthen each start. */
export class MessageLink {
  private readonly decoder = new StringDecoder('utf8')
  private rest = ''
  private isEnded = false

  private constructor (private readonly socket: Socket, private readonly listeners: Listeners) {
    socket.setNoDelay(true)
    socket.on('connect', () => listeners.onOpen?.())
    socket.on('data', chunk => this.received(chunk))
    socket.on('error', () => this.end())
    socket.on('close', () => this.end())
  }

  static dial (to: LinkId, listeners: Listeners): MessageLink {
    const colon = to.lastIndexOf(':')
    return new MessageLink(connect({ host: to.slice(0, colon), port: Number(to.slice(colon + 1)) }), listeners)
  }

  static of (socket: Socket, listeners: Listeners): MessageLink {
    return new MessageLink(socket, listeners)
  }

  send (message: SyncMessage): void {
    if (!this.isEnded) this.socket.write(messageCodec.encode(message))
  }

  close (): void {
    this.isEnded = true
    this.socket.destroy()
  }

  private received (chunk: Buffer): void {
    const lines = (this.rest + this.decoder.write(chunk)).split('\n')
    this.rest = lines.pop()!
    for (const line of lines) {
      if (this.isEnded) return
      const message = messageCodec.decode(line)
      // An invalid line may have contained rows, so the link must be opened again.
      if (message === undefined) return this.end()
      this.listeners.onMessage(message)
    }
    if (this.rest.length > MAX_LINE_CHARACTERS) return this.end()
    if (this.rest !== '' && !this.isEnded) this.listeners.onPart?.()
  }

  private end (): void {
    if (this.isEnded) return
    this.close()
    this.listeners.onEnd()
  }
}
