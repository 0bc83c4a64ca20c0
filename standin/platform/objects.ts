/** The stand-in for the object store: the S3 API with path-style buckets, in memory. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { bodyOf } from '../body.ts'

/** Answers PUT, GET, DELETE and the list of a bucket by prefix. */
export class Objects {
  private readonly objects = new Map<string, Buffer>()
  reads = 0
  writes = 0

  static create (): Objects {
    return new Objects()
  }

  async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://stand-in')
    const key = decodeURIComponent(url.pathname)
    if (req.method === 'PUT') return await this.put(key, req, res)
    this.reads++
    if (req.method === 'DELETE') {
      this.objects.delete(key)
      res.writeHead(204).end()
      return
    }
    if (url.searchParams.get('list-type') === '2') return this.list(key, url.searchParams, res)
    const body = this.objects.get(key)
    if (body === undefined) {
      res.writeHead(404, { 'content-type': 'application/xml' })
      res.end('<Error><Code>NoSuchKey</Code><Message>no such key</Message></Error>')
      return
    }
    res.writeHead(200, { 'content-length': body.length, etag: '"stand-in"' }).end(body)
  }

  private async put (key: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.writes++
    const body = await bodyOf(req)
    this.objects.set(key, isChunked(req) ? unchunk(body) : body)
    res.writeHead(200, { etag: '"stand-in"' }).end()
  }

  private list (bucket: string, params: URLSearchParams, res: ServerResponse): void {
    const root = bucket.replace(/\/?$/, '/')
    const prefix = root + (params.get('prefix') ?? '')
    const after = params.get('start-after') ?? ''
    const most = Number(params.get('max-keys') ?? 1000)
    const keys = [...this.objects.keys()]
      .filter(key => key.startsWith(prefix) && key.slice(root.length) > after)
      .map(key => key.slice(root.length))
      .sort()
    const page = keys.slice(0, most)
    const contents = page.map(key =>
      `<Contents><Key>${key}</Key><Size>${this.objects.get(root + key)!.length}</Size></Contents>`).join('')
    res.writeHead(200, { 'content-type': 'application/xml' })
    res.end(`<ListBucketResult><IsTruncated>${page.length < keys.length}</IsTruncated><KeyCount>${page.length}</KeyCount>${contents}</ListBucketResult>`)
  }
}

function isChunked (req: IncomingMessage): boolean {
  return String(req.headers['content-encoding'] ?? '').includes('aws-chunked')
}

/** Strips the signed-chunk framing that S3 clients put round an upload: `size[;signature]\r\n data \r\n`. */
function unchunk (body: Buffer): Buffer {
  const parts: Buffer[] = []
  let offset = 0
  for (;;) {
    const eol = body.indexOf('\r\n', offset)
    const size = parseInt(body.toString('latin1', offset, eol), 16)
    if (!(size > 0)) return Buffer.concat(parts)
    parts.push(body.subarray(eol + 2, eol + 2 + size))
    offset = eol + 2 + size + 2
  }
}
