/** The program of the deploy file on a few hosts, each a process on a loopback address of its own. */

import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** The short delay after which the platform starts a process again. */
const RESTART_MS = 1000
const ZONES = ['zone-a', 'zone-b', 'zone-c']

export class Programs {
  /** The addresses of the hosts. */
  ips = []
  /** How often each process has ended by itself. */
  ownEnds = []
  /** Whether a process that has ended by itself is started again. */
  isRestarting = false
  #processes = []

  /** Its addresses are 127.NET.0.1 and on, where the store and the databases have the last ones; the ports are free on all of them. */
  static async create ({ count, note, bounds = {}, contracts = ['base', 'drain', 'config', 'cost', 'recover', 'sql', 'platform'] }) {
    const programs = new Programs()
    Object.assign(programs, { note, bounds, contracts, net: 20 + process.pid % 200, folder: mkdtempSync(join(tmpdir(), 'review-')) })
    programs.ips = Array.from({ length: count }, (_, i) => `127.${programs.net}.0.${i + 1}`)
    programs.ports = await freePorts([...programs.ips, programs.otherIp], 12)
    // Whatever ends the test ends what it started.
    process.once('exit', () => programs.stop())
    for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => process.exit(2))
    return programs
  }

  get otherIp () {
    return `127.${this.net}.0.200`
  }

  /** Where requesters connect, on each address. */
  get frontPort () {
    return this.ports[0]
  }

  /** For the store, the platform's calls and servers. */
  get otherPorts () {
    return this.ports.slice(5)
  }

  start (i, isFirst) {
    const file = join(this.folder, `host-${i}.toml`)
    writeFileSync(file, this.#settingsOf(i, isFirst))
    const { PATH, HOME, LANG } = process.env
    const [command, ...args] = readFileSync('deploy/system.toml', 'utf8').match(/^run = "(.*)"$/m)[1].split(' ')
    const child = spawn(command === 'node' ? process.execPath : command, args, { env: { PATH, HOME, LANG, AGATEPOND_CONFIG: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#processes[i] = child
    let rest = ''
    child.stdout.on('data', chunk => {
      const lines = (rest + chunk).split('\n')
      rest = lines.pop()
      for (const line of lines) this.#logged(i, line)
    })
    child.stderr.on('data', chunk => this.note(`host-${i}: ${chunk}`))
    child.on('exit', (code, signal) => {
      this.note(`host-${i} has ended: ${code ?? signal}`)
      if (!this.isRestarting || child.killed) return
      this.ownEnds[i] = (this.ownEnds[i] ?? 0) + 1
      setTimeout(() => { if (this.isRestarting) this.start(i, false) }, RESTART_MS)
    })
  }

  /** Signals the process that the test started. */
  signal (i, name) {
    this.note(`host-${i}: ${name}`)
    this.#processes[i].kill(name)
  }

  async isReady (i) {
    return await new Promise(resolve => {
      const req = get({ host: this.ips[i], port: this.ports[1], path: '/ready', timeout: 500 }, res => {
        res.resume()
        resolve(res.statusCode === 200)
      })
      req.on('error', () => resolve(false))
      req.on('timeout', () => req.destroy())
    })
  }

  async allReady (ms) {
    const until = performance.now() + ms
    while (performance.now() < until) {
      const ready = await Promise.all(this.ips.map(async (_, i) => await this.isReady(i)))
      if (ready.every(isReady => isReady)) return true
      await new Promise(resolve => setTimeout(resolve, 100))
    }
    return false
  }

  stop () {
    this.isRestarting = false
    for (const child of this.#processes) {
      child?.kill('SIGCONT')
      child?.kill('SIGKILL')
    }
    rmSync(this.folder, { recursive: true, force: true })
  }

  #logged (i, line) {
    try {
      const { level, time, host, msg, ...rest } = JSON.parse(line)
      this.note(`host-${i}: ${msg} ${JSON.stringify(rest)}`)
    } catch {
      this.note(`host-${i}: ${line}`)
    }
  }

  #settingsOf (i, isFirst) {
    const [front, ready, control, first, last, store, cloud] = this.ports
    const ip = this.ips[i]
    const seeds = this.ips.slice(0, 3).map(seed => `"${seed}:${control}"`).join(',')
    const bounds = {
      seedLagS: 3, reuseAfterS: 2, stableWindowMs: 4000, ackMs: 5000, catchupS: 4, drainMs: 7000, graceS: 6, lossSlackMs: 200, configApplyMs: 3000, downgradeSlackMs: 250, maxSkewMs: 12000, recoveryS: 12, requireFencing: true, unfreezeSlackMs: 300, ...this.bounds
    }
    return `nodeName = "front-${i}"
role = "my-front"
machineClass = "front"
serves = ["front","control"]
ip = "${ip}"
zone = "${ZONES[i % ZONES.length]}"
region = "region"
internalPortRange = [${first},${last}]
seedNodes = [${seeds}]
bootstrap = ${isFirst}
inTolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ${JSON.stringify(this.contracts)}
[zones]
${ZONES.map(zone => `${zone} = "region"`).join('\n')}
[listenAddrs]
front = "${ip}:${front}"
ready = "${ip}:${ready}"
control = "${ip}:${control}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4300
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
${Object.entries(bounds).map(([key, value]) => `${key} = ${value}`).join('\n')}
[platform]
address = "${this.otherIp}:${store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 4.0
partWritesS = 250
rowBytes = 65536
across = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
[cloudApi]
address = "${this.otherIp}:${cloud}"
ratePerS = 50.0
duties = ["failover"]
dutyPerS = 50.0
`
  }
}

/** Ports below the system's range for outgoing connections that nobody listens on at any of the addresses. */
async function freePorts (ips, count) {
  const ports = []
  for (let port = 12_000 + process.pid % 8000; ports.length < count; port++) {
    const isFree = await Promise.all(ips.map(async ip => await isFreeAt(ip, port)))
    if (isFree.every(isTrue => isTrue)) ports.push(port)
  }
  return ports
}

async function isFreeAt (ip, port) {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, ip, () => server.close(() => resolve(true)))
  })
}
