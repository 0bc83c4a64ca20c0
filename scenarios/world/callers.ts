/** The callers of a run: sessions that write, read and look at the answers. */

import type { GroupId } from '../../src/core/id/group.ts'
import type { SessionId } from '../../src/core/id/session.ts'
import type { Freshness } from '../../src/core/routing/freshness.ts'
import type { CallerConnection } from '../../src/shell/caller/connection.ts'
import type { Script } from '../language/script.ts'
import { CallerReply } from './callerreply.ts'
import type { Connection } from './connection.ts'
import { LinkError } from './linkerror.ts'
import { Node } from './node.ts'
import type { Proxy } from './proxy.ts'
import { readOf } from './readof.ts'
import type { World } from './world.ts'

type Load = Script['loads'][number]
type Action = 'writes' | 'once' | 'transactions' | 'reads' | 'strict' | 'aged'

interface Caller {
  readonly session: SessionId
  readonly node: Node
  /** Where the session is; a roaming one has none. */
  host: Proxy | undefined
  isBusy: boolean
}

interface Append {
  readonly key: string
  readonly value: string
  readonly once?: string
}

interface Open {
  readonly connection: Connection
  readonly handler: CallerConnection
  readonly base: { readonly session: string, readonly host: string, readonly group: string }
  readonly close: () => void
}

const ACTIONS: readonly Action[] = ['writes', 'once', 'transactions', 'reads', 'strict', 'aged']
const KEYS = ['k1', 'k2', 'k3', 'k4', 'k5', 'k6', 'k7', 'k8']
const CALLER_TIMEOUT_MS = 8000
const TRIES = 3
const TRY_AGAIN_MS = 200

export class Callers {
  private readonly callers: Caller[] = []
  private values = 0

  private constructor (private readonly world: World, private readonly load: Load, private readonly name: string) {
    for (let i = 0; i < load.sessions; i++) this.join()
  }

  /** Calls from the load's begin to its end. Values of two loads differ by the name. */
  static start (world: World, load: Load, name: string): Callers {
    const it = new Callers(world, load, name)
    for (const action of ACTIONS) if (load[action] > 0) it.arrive(action)
    return it
  }

  /**
   * Arrivals don't wait for answers: one that finds every session busy comes
   * from a session more. Against a measure that stops with the callers: those
   * that wait at a host which is cut off would take up all sessions, nobody
   * would ask the others, and that pause would count as theirs, or hide one.
   */
  private async arrive (action: Action): Promise<void> {
    const { clock, chance } = this.world
    await clock.sleep(this.load.from - clock.now)
    while (clock.now < this.load.to) {
      this.act(chance.pick(this.callers.filter(one => !one.isBusy)) ?? this.join(), action)
      await clock.sleep(1000 / this.load[action] * (0.5 + chance.next()))
    }
  }

  private join (): Caller {
    const id = `${this.name}${this.callers.length + 1}`
    const caller: Caller = {
      session: id as SessionId,
      node: Node.create(this.world.clock, `caller-${id}`, 'callers'),
      host: undefined,
      isBusy: false
    }
    this.callers.push(caller)
    return caller
  }

  private async act (caller: Caller, action: Action): Promise<void> {
    const group = this.world.chance.pick(this.world.sizes.groups)! as GroupId
    caller.isBusy = true
    switch (action) {
      case 'writes':
        await this.write(caller, group)
        break
      case 'once':
        await this.writeOnce(caller, group)
        break
      case 'transactions':
        await this.transact(caller, group)
        break
      default:
        await this.read(caller, group, this.freshness(action))
    }
    caller.isBusy = false
  }

  private freshness (action: Action): Freshness {
    if (action === 'strict') return { kind: 'strict' }
    return action === 'aged' ? { kind: 'age', ms: this.load.ageMs } : { kind: 'session' }
  }

  private async write (caller: Caller, group: GroupId): Promise<void> {
    const open = this.open(caller, group)
    if (open === undefined) return
    await this.append(open, { key: this.anyKey, value: this.nextValue(caller) }, 'class=urgent')
    open.close()
  }

  /** A request that isn't repeatable, whose caller tries again under its key until it knows. */
  private async writeOnce (caller: Caller, group: GroupId): Promise<void> {
    const append = { key: this.anyKey, value: this.nextValue(caller) }
    const once = `once-${append.value}`
    for (let i = 0; i < TRIES; i++) {
      const open = this.open(caller, group)
      const reply = open && await this.append(open, { ...append, once }, `once=${once}`)
      open?.close()
      if (reply?.outcome === 'done') return
      await this.world.clock.sleep(TRY_AGAIN_MS)
    }
  }

  private async append (open: Open, { key, value, once }: Append, hints = '', transaction?: string): Promise<CallerReply> {
    const { recorder } = this.world
    const id = recorder.begin({ ...open.base, from: this.world.clock.now, kind: 'write', key, value, once, transaction })
    const reply = await this.ask(open, `/* ${hints} */ INSERT INTO list (k, v) VALUES ('${key}','${value}')`)
    recorder.end(id, answerOf(reply))
    return reply
  }

  private async read (caller: Caller, group: GroupId, freshness: Freshness): Promise<void> {
    const open = this.open(caller, group)
    if (open === undefined) return
    const keys = this.neighbours
    const { recorder } = this.world
    const id = recorder.begin({ ...open.base, from: this.world.clock.now, kind: 'read', keys, freshness, rows: [] })
    const reply = await this.ask(open, readOf(keys, freshness))
    recorder.end(id, { outcome: reply.outcome, rows: reply.values })
    open.close()
  }

  /** Two appends to neighbouring keys and one COMMIT, on one connection. */
  private async transact (caller: Caller, group: GroupId): Promise<void> {
    const open = this.open(caller, group)
    if (open === undefined) return
    await this.transactOn(open, caller)
    open.close()
  }

  private async transactOn (open: Open, caller: Caller): Promise<void> {
    const transaction = `t-${this.nextValue(caller)}`
    const begun = await this.ask(open, 'BEGIN')
    if (begun.outcome !== 'done') return
    for (const key of this.neighbours) {
      const reply = await this.append(open, { key, value: this.nextValue(caller) }, '', transaction)
      if (reply.outcome !== 'done') return
    }
    const { recorder } = this.world
    const id = recorder.begin({ ...open.base, from: this.world.clock.now, kind: 'commit', transaction })
    recorder.end(id, answerOf(await this.ask(open, 'COMMIT')))
  }

  /** A caller whose connection broke, or who waited too long, can't know what became of its request. */
  private async ask ({ connection, handler }: Open, sql: string): Promise<CallerReply> {
    return await this.world.network.ask(connection, CALLER_TIMEOUT_MS, async () => {
      const reply = CallerReply.create()
      await handler.query(sql, reply.asReply)
      return reply
    }).catch((err: unknown) => {
      if (!(err instanceof LinkError)) throw err
      connection.break()
      return CallerReply.of(err.isUnsent ? 'notRun' : 'unknown')
    })
  }

  /** A connection to a proxy; the proxy's side of it ends when it breaks, unless the proxy can't be told. */
  private open (caller: Caller, group: GroupId): Open | undefined {
    const proxy = this.choose(caller)
    if (proxy === undefined) return undefined
    const connection = this.world.network.connect(caller.node, proxy.process.node)
    const handler = proxy.accept(caller.session, group)
    connection.onBreak(() => {
      if (!proxy.process.isOver) handler.closed()
    })
    return {
      connection,
      handler,
      base: { session: caller.session, host: proxy.id, group },
      close: () => connection.break()
    }
  }

  private get anyKey (): string {
    return this.world.chance.pick(KEYS)!
  }

  private get neighbours (): readonly string[] {
    const first = this.world.chance.below(KEYS.length)
    return [KEYS[first]!, KEYS[(first + 1) % KEYS.length]!]
  }

  private choose (caller: Caller): Proxy | undefined {
    const { chance, live } = this.world
    if (this.load.isRoaming) return chance.pick(live)
    if (caller.host === undefined || caller.host.process.isOver) caller.host = chance.pick(live)
    return caller.host
  }

  private nextValue (caller: Caller): string {
    return `${caller.session}v${++this.values}`
  }
}

function answerOf ({ outcome, token }: CallerReply): { readonly outcome: CallerReply['outcome'], readonly term?: number, readonly position?: number } {
  return { outcome, term: token?.term, position: token?.position }
}
