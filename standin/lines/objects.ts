/** Raw objects over HTTP, with a limit to their number, in the process of a test. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { bodyOf } from '../body.ts'

const PATH = /^\/blob-(put|get|drop)\/([^/?]+)$/

export class ObjectServer {
  readonly objects = new Map<string, Buffer>()
  /** Further ones are refused. */
  most = Infinity

  private constructor () {}

  static create (): ObjectServer {
    return new ObjectServer()
  }

  /** Whether the request was for it. */
  async handle (url: URL, req: IncomingMessage, res: ServerResponse): Promise<boolean> {
    if (url.pathname === '/blob-list') {
      this.list(url, res)
      return true
    }
    const [, verb, id] = PATH.exec(url.pathname) ?? []
    if (id === undefined) return false
    const name = decodeURIComponent(id)
    if (verb === 'put') this.put(name, await bodyOf(req), res)
    else if (verb === 'drop') this.end(res, this.objects.delete(name) ? 200 : 404)
    else this.end(res, this.objects.has(name) ? 200 : 404, this.objects.get(name))
    return true
  }

  private put (name: string, body: Buffer, res: ServerResponse): void {
    if (this.objects.size >= this.most) return this.end(res, 507)
    this.objects.set(name, body)
    this.end(res, 200)
  }

  private list (url: URL, res: ServerResponse): void {
    const [prefix, after] = [url.searchParams.get('prefix') ?? '', url.searchParams.get('after') ?? '']
    const names = [...this.objects.keys()].filter(name => name.startsWith(prefix) && name > after).sort()
    this.end(res, 200, Buffer.from(JSON.stringify({ names, hasMore: false })))
  }

  private end (res: ServerResponse, status: number, body?: Buffer): void {
    res.writeHead(status)
    res.end(body)
  }
}
