import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { S3Store } from '../src/shell/platform/s3store.ts'
import { Objects } from '../standin/platform/objects.ts'

describe('the object store by the S3 API', () => {
  const objects = Objects.create()
  const server = createServer((req, res) => { objects.handle(req, res).catch(() => res.destroy()) })
  const stop = new AbortController()
  let store: S3Store

  beforeAll(async () => {
    process.env.AWS_ACCESS_KEY_ID = 'local'
    process.env.AWS_SECRET_ACCESS_KEY = 'local'
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    store = S3Store.open({ url: `http://127.0.0.1:${port}`, bucket: 'agatepond', region: 'local', timeoutMs: 5000 }, stop.signal)
  })
  afterAll(() => {
    stop.abort()
    server.close()
  })

  it('puts, gets and lists in order', async () => {
    for (const key of ['a/2', 'a/1', 'b/1']) await store.put(key, Buffer.from(key))
    expect(Buffer.from((await store.get('a/2'))!).toString()).toBe('a/2')
    expect(await store.get('a/3')).toBeUndefined()
    expect(await store.list('a/', '', 10)).toEqual(['a/1', 'a/2'])
    expect(await store.list('a/', 'a/1', 10)).toEqual(['a/2'])
    expect(await store.list('a/', '', 1)).toEqual(['a/1'])
    expect(await store.list('c/', '', 10)).toEqual([])
  })
})
