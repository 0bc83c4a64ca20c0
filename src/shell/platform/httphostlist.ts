/** The host list, fetched as JSON over HTTP. */

import * as z from 'zod'
import type { HostList } from './hostlist.ts'

const shape = z.array(z.object({
  id: z.string(),
  peers: z.string(),
  dataCentre: z.string(),
  state: z.enum(['live', 'leaving'])
}))

/** Fetches the list anew with each call; rejects on timeouts and malformed responses. */
export class HttpHostList implements HostList {
  private constructor (private readonly url: string, private readonly timeoutMs: number) {}

  static of (url: string, timeoutMs: number): HttpHostList {
    return new HttpHostList(url, timeoutMs)
  }

  async hosts (): ReturnType<HostList['hosts']> {
    const response = await fetch(this.url, { signal: AbortSignal.timeout(this.timeoutMs) })
    return shape.parse(await response.json()) as unknown as Awaited<ReturnType<HostList['hosts']>>
  }
}
