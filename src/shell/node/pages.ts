/** The HTTP pages for load balancers (/health, /ready) and for Prometheus (/metrics). */

import { createServer } from 'node:http'
import type { Metrics } from '../metrics/metrics.ts'

interface Options {
  readonly ip: string
  readonly port: number
  readonly metrics: Metrics
  /** Why this process isn't ready for callers; undefined if it is. */
  readonly problem: () => string | undefined
}

/** Serves the pages until the signal is aborted. Resolves when the server listens; rejects if it can't. */
export async function servePages ({ ip, port, metrics, problem }: Options, signal: AbortSignal): Promise<void> {
  const server = createServer((req, res) => {
    if (req.url === '/health') {
      res.end('ok\n')
      return
    }
    if (req.url === '/ready') {
      const reason = problem()
      res.writeHead(reason === undefined ? 200 : 503).end(`${reason ?? 'ready'}\n`)
      return
    }
    metrics.registry.metrics().then(text => res.end(text))
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, resolve)
  })
  signal.addEventListener('abort', () => server.close(), { once: true })
}
