/** A whole system on loopback for demos and tests: platform, endpoints and proxies, each a process. */

import { createHash } from 'node:crypto'
import { execFile } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { promisify } from 'node:util'
import { Child } from './child.ts'
import { freePorts } from './ports.ts'
import { Relay } from './relay.ts'

interface Options {
  readonly proxies: number
  readonly groups?: readonly string[]
  readonly lagMs?: number
  readonly connectMs?: number
  readonly statementMs?: number
  readonly connectionsPerSlot?: number
  readonly slotsPerEndpoint?: number
  /** Puts a relay before every proxy's address for its peers. */
  readonly relayPeers?: boolean
  /** Lines of TOML appended to every proxy's settings; `{host}` becomes its id. */
  readonly extraSettings?: string
  readonly kinds?: readonly { readonly name: string, readonly freshness: string }[]
}

interface EndpointPlace {
  readonly id: string
  readonly port: number
  readonly replicationPort: number
  readonly adminPort: number
  child: Child
}

interface ProxyPlace {
  readonly id: string
  readonly dataCentre: string
  readonly callers: number
  readonly peers: number
  readonly metrics: number
  readonly settings: string
  readonly relay: Relay | undefined
  child: Child | undefined
}

const PASSWORD = 'secret'
const ENDPOINTS_PER_GROUP = 3

/** Starts everything, and stops everything it started. */
export class Stage {
  readonly endpoints: EndpointPlace[] = []
  readonly proxies: ProxyPlace[] = []
  readonly password = PASSWORD
  private readonly dir = mkdtempSync(join(tmpdir(), 'agatepond-'))
  private platform!: Child
  private platformPort = 0

  private constructor (private readonly options: Options) {}

  static async start (options: Options): Promise<Stage> {
    const it = new Stage(options)
    await it.startPlatform()
    for (const group of options.groups ?? ['shop']) await it.startGroup(group)
    await it.describeProxies()
    await it.patch(0, it.config())
    await Promise.all(it.proxies.map(async (_, i) => await it.startProxy(i)))
    await Promise.all(it.proxies.map(async (_, i) => await it.ready(i)))
    return it
  }

  async stop (): Promise<void> {
    const children = [...this.proxies.map(one => one.child), ...this.endpoints.map(one => one.child), this.platform]
    await Promise.all(children.map(async child => await child?.end('SIGKILL')))
    for (const { relay } of this.proxies) relay?.close()
    rmSync(this.dir, { recursive: true })
  }

  /** Sets faults of the platform; see standin/platform/main.ts for their names. */
  async faults (change: object): Promise<void> {
    await this.put('/faults', change)
  }

  async counts (): Promise<Record<string, number>> {
    return await (await fetch(`http://127.0.0.1:${this.platformPort}/counts`)).json() as Record<string, number>
  }

  /** Sets faults of an endpoint and yields its status and counts. */
  async endpoint (id: string, change: object = {}): Promise<Record<string, unknown>> {
    const { adminPort } = this.endpoints.find(one => one.id === id)!
    const res = await fetch(`http://127.0.0.1:${adminPort}/`, { method: 'POST', body: JSON.stringify(change) })
    return await res.json() as Record<string, unknown>
  }

  /** The endpoint that says it's primary in the highest term. */
  async primary (group: string): Promise<string> {
    const states = await Promise.all(this.endpoints
      .filter(one => one.id.startsWith(`${group}-`))
      .map(async one => await this.endpoint(one.id).catch(() => undefined)))
    const best = states.filter(one => one?.role === 'primary').sort((a, b) => Number(b!.term) - Number(a!.term))[0]
    return String(best?.id)
  }

  /** Sets the states that the list shows; `gone` takes a host off it. */
  async hosts (state: Readonly<Record<string, string>> = {}): Promise<void> {
    await this.put('/hosts', this.proxies.filter(proxy => state[proxy.id] !== 'gone').map(proxy => ({
      id: proxy.id, peers: `127.0.0.1:${proxy.relay?.port ?? proxy.peers}`, dataCentre: proxy.dataCentre, state: state[proxy.id] ?? 'live'
    })))
  }

  async startProxy (i: number): Promise<void> {
    const proxy = this.proxies[i]!
    proxy.child = await Child.start(proxy.id, ['dist/agatepond.cjs', 'serve', '--settings', proxy.settings], /"event":1001/)
  }

  /** Resolves when the proxy says it's ready and a caller can read through it. */
  async ready (i: number): Promise<void> {
    const { metrics } = this.proxies[i]!
    for (;;) {
      const res = await fetch(`http://127.0.0.1:${metrics}/ready`).catch(() => undefined)
      if (res?.ok === true) return
      await new Promise(resolve => { setTimeout(resolve, 50) })
    }
  }

  /** Resolves with the reason when the proxy says that it isn't ready. */
  async unready (i: number): Promise<string> {
    for (;;) {
      const res = await fetch(`http://127.0.0.1:${this.proxies[i]!.metrics}/ready`)
      if (!res.ok) return (await res.text()).trim()
      await new Promise(resolve => { setTimeout(resolve, 20) })
    }
  }

  /** Runs a statement that may run twice until it's acknowledged: a busy machine may be too slow for a confirmation. */
  async setUp (caller: { query: (sql: string) => Promise<unknown> }, sql: string): Promise<void> {
    while (!await caller.query(sql).then(() => true, () => false)) {
      await new Promise(resolve => { setTimeout(resolve, 50) })
    }
  }

  async metrics (i: number): Promise<string> {
    return await (await fetch(`http://127.0.0.1:${this.proxies[i]!.metrics}/metrics`)).text()
  }

  /** Runs the command line with the first proxy's settings. */
  async cli (...args: readonly string[]): Promise<{ code: number, stdout: string, stderr: string }> {
    const env = { ...process.env, AWS_ACCESS_KEY_ID: 'local', AWS_SECRET_ACCESS_KEY: 'local' }
    const [command, ...rest] = args
    const all = ['dist/agatepond.cjs', command!, '--settings', this.proxies[0]!.settings, ...rest]
    return await promisify(execFile)(process.execPath, all, { env }).then(
      out => ({ code: 0, ...out }),
      (err: { code: number, stdout: string, stderr: string }) => ({ code: err.code, stdout: err.stdout, stderr: err.stderr }))
  }

  async patch (base: number, config: object): Promise<{ code: number, stdout: string, stderr: string }> {
    const file = join(this.dir, `patch-${base}-${Math.random()}.json`)
    writeFileSync(file, JSON.stringify(config))
    return await this.cli('patch', '--base', String(base), file)
  }

  config (): object {
    const groups = this.options.groups ?? ['shop']
    return {
      groups: groups.map(group => ({
        id: group,
        database: group,
        endpoints: this.endpoints.filter(one => one.id.startsWith(`${group}-`)).map((one, i) => ({
          id: one.id, address: `127.0.0.1:${one.port}`, dataCentre: dataCentreOf(i)
        })),
        slotsPerEndpoint: this.options.slotsPerEndpoint ?? 2,
        connectionsPerSlot: this.options.connectionsPerSlot ?? 16
      })),
      pools: [{
        id: 'main',
        groups,
        callers: [{ id: 'app', passwordHash: doubleSha1(PASSWORD) }],
        kinds: this.options.kinds ?? [{ name: 'crimp', freshness: 'strict' }, { name: 'browse', freshness: '5s' }]
      }]
    }
  }

  private async startPlatform (): Promise<void> {
    this.platformPort = (await freePorts(1))[0]!
    this.platform = await Child.start('platform', ['dist/standin-platform.mjs', '--port', String(this.platformPort)], /ready/)
  }

  private async startGroup (group: string): Promise<void> {
    const ports = await freePorts(ENDPOINTS_PER_GROUP * 3)
    const ids = Array.from({ length: ENDPOINTS_PER_GROUP }, (_, i) => `${group}-${i + 1}`)
    const addresses = ids.map((id, i) => `${id}=127.0.0.1:${ports[i * 3 + 1]}`).join(',')
    await Promise.all(ids.map(async (id, i) => {
      const [port, replicationPort, adminPort] = ports.slice(i * 3, i * 3 + 3) as [number, number, number]
      const { lagMs, connectMs, statementMs, connectionsPerSlot, slotsPerEndpoint } = this.options
      const child = await Child.start(id, ['dist/standin-endpoint.mjs',
        '--id', id, '--group', addresses, '--primary', ids[0]!,
        '--port', String(port), '--replication-port', String(replicationPort), '--admin-port', String(adminPort),
        '--lag', String(lagMs ?? 0), '--connect-ms', String(connectMs ?? 0), '--statement-ms', String(statementMs ?? 0),
        '--most-connections', String((connectionsPerSlot ?? 16) * (slotsPerEndpoint ?? 2))], /ready/)
      this.endpoints.push({ id, port, replicationPort, adminPort, child })
    }))
    this.endpoints.sort((a, b) => a.id < b.id ? -1 : 1)
  }

  private async describeProxies (): Promise<void> {
    const ports = await freePorts(this.options.proxies * 3)
    for (let i = 0; i < this.options.proxies; i++) {
      const [callers, peers, metrics] = ports.slice(i * 3, i * 3 + 3) as [number, number, number]
      const id = `host-${i + 1}`
      const settings = join(this.dir, `${id}.toml`)
      const url = `http://127.0.0.1:${this.platformPort}`
      writeFileSync(settings, [
        '[host]', `id = "${id}"`, `dataCentre = "${dataCentreOf(i)}"`,
        '[listen]', `callers = "127.0.0.1:${callers}"`, `peers = "127.0.0.1:${peers}"`, `metrics = "127.0.0.1:${metrics}"`,
        '[platform]', `tableService = "${url}"`, `objectStore = "${url}"`, `hostList = "${url}/hosts"`,
        '[endpoints]', 'user = "data"', 'password = "data-password"', 'controlUser = "control"', 'controlPassword = "control-password"',
        (this.options.extraSettings ?? '').replaceAll('{host}', id)
      ].join('\n'))
      const relay = this.options.relayPeers === true ? await Relay.listen(peers) : undefined
      this.proxies.push({ id, dataCentre: dataCentreOf(i), callers, peers, metrics, settings, relay, child: undefined })
    }
    await this.hosts()
  }

  private async put (path: string, body: unknown): Promise<void> {
    await fetch(`http://127.0.0.1:${this.platformPort}${path}`, { method: 'PUT', body: JSON.stringify(body) })
  }
}

function dataCentreOf (i: number): string {
  return `dc-${i % 3 + 1}`
}

function doubleSha1 (password: string): string {
  const once = createHash('sha1').update(password).digest()
  return createHash('sha1').update(once).digest('hex')
}
