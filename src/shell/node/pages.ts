/** The pages for the balancer and for Prometheus: /health, /ready, /metrics. */

import { createServer } from 'node:http'
import type { Metrics } from '../metrics/metrics.ts'

interface Options {
  readonly ip: string
  readonly port: number
  readonly metrics: Metrics
  /** Why this process takes no callers; undefined when it does. */
  readonly problem: () => string | undefined
}

/** Serves until the signal is aborted. Resolves when it listens, so that whoever reads that the process started can ask whether it's ready. */
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
