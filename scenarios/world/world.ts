/** The nodes of a run, and how scripts name them. */

import type { EndpointId } from '../../src/core/id/endpoint.ts'
import type { HostId } from '../../src/core/id/host.ts'
import type { DataCentreId } from '../../src/core/id/datacentre.ts'
import type { Json } from '../../src/core/json.ts'
import { parseSettings } from '../../src/core/settings/settings.ts'
import type { EndpointConnection } from '../../src/shell/endpoint/connection.ts'
import { ConfigStore } from '../../src/shell/config/store.ts'
import type { ObjectStore } from '../../src/shell/platform/objectstore.ts'
import type { ConfigVersion } from '../../src/core/id/version.ts'
import { Chance } from './chance.ts'
import type { Clock } from './clock.ts'
import { Endpoint } from './endpoint.ts'
import { Network } from './network.ts'
import { Node } from './node.ts'
import { Platform } from './platform.ts'
import { Process } from './process.ts'
import { Proxy } from './proxy.ts'
import { Recorder } from './recorder.ts'
import { Wire } from './wire.ts'

interface Sizes {
  readonly hosts: number
  readonly groups: readonly string[]
  readonly loads: readonly { readonly ageMs: number }[]
}

const DATA_CENTRES = ['data-centre-a', 'data-centre-b', 'data-centre-c']
const PER_GROUP = 3
const FIRST_PORT = 3306
const CONNECT_MS = 10
const LIST_LAG_MS = 2000
const SETTINGS = parseSettings({
  host: { id: 'any', dataCentre: 'any' },
  listen: { callers: '127.0.0.1:1', peers: '127.0.0.1:2', metrics: '127.0.0.1:3' },
  platform: { tableService: 'http://127.0.0.1:4', objectStore: 'http://127.0.0.1:5', hostList: 'http://127.0.0.1:6' },
  endpoints: { user: '', password: '', controlUser: '', controlPassword: '' }
})._unsafeUnwrap()

export class World {
  readonly chance: Chance
  readonly network: Network
  readonly recorder: Recorder
  readonly platform: Platform
  readonly endpoints = new Map<EndpointId, Endpoint>()
  private readonly hosts: readonly Node[]
  private readonly processes = new Map<string, Process>()
  private readonly proxies = new Map<HostId, Proxy>()
  private incarnations = 0
  private patches = 0

  private constructor (readonly clock: Clock, readonly sizes: Sizes, seed: number) {
    this.chance = Chance.of(seed)
    this.network = Network.create(clock, this.chance)
    this.recorder = Recorder.create(clock)
    this.platform = Platform.create(Node.create(clock, 'store', DATA_CENTRES[0]!), clock)
    this.hosts = Array.from({ length: sizes.hosts }, (_, i) => Node.create(clock, `host-${i + 1}`, DATA_CENTRES[i % DATA_CENTRES.length]!))
    for (const group of sizes.groups) this.addGroup(group)
  }

  static create (clock: Clock, sizes: Sizes, seed: number): World {
    return new World(clock, sizes, seed)
  }

  async start (): Promise<void> {
    this.platform.useHosts(this.listed, 0)
    const store = ConfigStore.of(this.platform.table(async work => await work()), undefined as unknown as ObjectStore)
    store.create(1 as ConfigVersion, { id: 'first', digest: '', by: 'operator', why: 'the first', at: 0 }, JSON.stringify(this.documentWith('first')))
    await this.clock.runUntil(0)
    for (const host of this.hosts) this.startProxy(host)
  }

  get live (): readonly Proxy[] {
    return [...this.proxies.values()].filter(proxy => !proxy.process.isOver && proxy.isReady)
  }

  /** The configuration as operators write it, with one more kind of read so that no two are alike. */
  documentWith (kind: string): Json {
    const groups = this.sizes.groups.map(id => ({
      id,
      database: id,
      endpoints: this.endpointsOf(id).map(one => ({ id: one.id, address: `127.0.0.1:${this.portOf(one.id)}`, dataCentre: one.node.dataCentre }))
    }))
    const ages = [...new Set(this.sizes.loads.map(load => load.ageMs).filter(ms => ms > 0))]
    const kinds = [
      { name: kind, freshness: 'strict' },
      { name: 'strict', freshness: 'strict' },
      ...ages.map(ms => ({ name: `age-${ms}`, freshness: `${ms}ms` }))
    ]
    return { groups, pools: [{ id: 'all', groups: [...this.sizes.groups], callers: [], kinds }] }
  }

  nextPatch (): number {
    return ++this.patches
  }

  proxy (id: string): Proxy | undefined {
    const proxy = this.proxies.get(id as HostId)
    return proxy?.process.isOver === true ? undefined : proxy
  }

  /** The nodes that a place of a script names; `near` is what `group` and `all` leave out. */
  nodes (place: string, near: readonly Node[] = []): readonly Node[] {
    const endpoints = [...this.endpoints.values()]
    const all = [...this.hosts, ...endpoints.map(one => one.node), this.platform.node]
    const [group, part] = [place.slice(0, place.lastIndexOf('-')), place.slice(place.lastIndexOf('-') + 1)]
    if (place === 'all') return all.filter(node => !near.includes(node))
    if (place === 'hosts') return this.hosts
    if (place === 'group') return this.groupOf(near).map(one => one.node).filter(node => !near.includes(node))
    if (part === 'owners') return this.ownersOf(this.nodes(group))
    if (part === 'primary') return this.endpointsOf(group).filter(one => one.isPrimary).map(one => one.node)
    if (part === 'replicas') return this.endpointsOf(group).filter(one => !one.isPrimary).map(one => one.node)
    const found = all.filter(node => node.id === place || node.dataCentre === place || node.id.replace(/-\d+$/, '') === place)
    if (found.length === 0) throw new Error(`no node is called "${place}"; see the places in scenarios/README.md`)
    return found
  }

  endpointsOf (group: string): readonly Endpoint[] {
    return [...this.endpoints.values()].filter(one => one.id.replace(/-\d+$/, '') === group)
  }

  kill (node: Node): void {
    node.isUp = false
    this.network.drop(node)
    const proxy = this.proxies.get(node.id as HostId)
    if (proxy === undefined) return
    proxy.process.end()
    this.listHosts()
  }

  restart (node: Node): void {
    if (node.isUp) return
    this.endpoints.get(node.id as EndpointId)?.restart()
    node.isUp = true
    if (this.proxies.has(node.id as HostId)) this.startProxy(node)
    this.listHosts()
  }

  /** Opens a connection of a process to an endpoint, which costs the time that the users state. */
  async dial ({ user, port, connectMs }: Parameters<typeof EndpointConnection.open>[0]): Promise<Wire> {
    const process = this.processes.get(user)!
    const endpoint = [...this.endpoints.values()][port - FIRST_PORT]!
    const connection = this.network.connect(process.node, endpoint.node)
    await process.ask(connection, connectMs, async () => await this.clock.sleep(CONNECT_MS)).catch((err: unknown) => {
      connection.break()
      throw err
    })
    return Wire.of(process, endpoint, connection)
  }

  /** The platform drops hosts that stand still from its list, and takes them back. */
  listHosts (): void {
    this.platform.useHosts(this.listed, LIST_LAG_MS)
  }

  private get listed (): Parameters<Platform['useHosts']>[0] {
    return this.hosts
      .filter(host => host.isUp && !host.isFrozen)
      .map(host => ({ id: host.id as HostId, peers: '', dataCentre: host.dataCentre as DataCentreId, state: 'live' }))
  }

  /** The hosts that hold slots of the endpoints. */
  private ownersOf (endpoints: readonly Node[]): readonly Node[] {
    return this.live.filter(proxy => endpoints.some(one => proxy.holds(one.id as EndpointId))).map(proxy => proxy.process.node)
  }

  private portOf (endpoint: EndpointId): number {
    return FIRST_PORT + [...this.endpoints.keys()].indexOf(endpoint)
  }

  private groupOf (nodes: readonly Node[]): readonly Endpoint[] {
    return this.endpointsOf(nodes[0]?.id.replace(/-\d+$/, '') ?? '')
  }

  private addGroup (group: string): void {
    for (let i = 0; i < PER_GROUP; i++) {
      const id = `${group}-${i + 1}` as EndpointId
      const node = Node.create(this.clock, id, DATA_CENTRES[i % DATA_CENTRES.length]!)
      this.endpoints.set(id, Endpoint.create(id, node, this.clock, this.network, this.endpoints))
    }
    const [primary, ...others] = this.endpointsOf(group)
    primary!.seal(1, 'platform')
    primary!.promote(1, 'platform')
    for (const other of others) other.follow(primary!, 1)
    this.recorder.promotions.push({ group, term: 1, position: 0, at: 0 })
  }

  private startProxy (host: Node): void {
    const { clock, network, chance, recorder } = this
    const process = Process.start(host, ++this.incarnations, clock, network, chance)
    recorder.note(`start ${host.id}`)
    this.processes.set(process.name, process)
    this.proxies.set(host.id as HostId, Proxy.start({
      process,
      settings: SETTINGS,
      platform: this.platform,
      peer: id => this.proxy(id),
      onPromotion: ({ group, term, position }) => recorder.promotions.push({ group, term, position, at: clock.now }),
      onLog: (id, event, fields) => recorder.note(`log ${id} ${event} ${JSON.stringify(fields)}`),
      onVersion: (id, version) => {
        recorder.note(`version ${id} ${version}`)
        recorder.versions.push({ host: id, version, at: clock.now })
      },
      onRequest: (kind, place) => {
        if (kind === 'read' && place !== 'none') recorder.served.push(place)
      }
    }))
  }
}
