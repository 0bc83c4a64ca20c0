/** The callers of a run: sessions that write, read and look at the answers. */

import type { GroupId } from '../../src/core/id/group.ts'
import type { SessionId } from '../../src/core/id/session.ts'
import type { TransactionId } from '../../src/core/id/transaction.ts'
import type { Freshness } from '../../src/core/routing/freshness.ts'
import type { Script } from '../language/script.ts'
import { LinkError } from './linkerror.ts'
import { Node } from './node.ts'
import type { Proxy } from './proxy.ts'
import { Reply } from './reply.ts'
import type { Statement } from './statement.ts'
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

const ACTIONS: readonly Action[] = ['writes', 'once', 'transactions', 'reads', 'strict', 'aged']
const KEYS = ['k1', 'k2', 'k3', 'k4', 'k5', 'k6', 'k7', 'k8']
const CALLER_TIMEOUT_MS = 8000
const TRIES = 3
const TRY_AGAIN_MS = 200

export class Callers {
  private readonly callers: readonly Caller[]
  private values = 0

  private constructor (private readonly world: World, private readonly load: Load, name: string) {
    this.callers = Array.from({ length: load.sessions }, (_, i) => ({
      session: `${name}${i + 1}` as SessionId,
      node: Node.create(world.clock, `caller-${name}${i + 1}`, 'callers'),
      host: undefined,
      isBusy: false
    }))
  }

  /** Calls from the load's begin to its end. Values of two loads differ by the name. */
  static start (world: World, load: Load, name: string): Callers {
    const it = new Callers(world, load, name)
    for (const action of ACTIONS) if (load[action] > 0) it.arrive(action)
    return it
  }

  /** Arrivals don't wait for answers; one that finds every session busy is left out. */
  private async arrive (action: Action): Promise<void> {
    const { clock, chance } = this.world
    await clock.sleep(this.load.from - clock.now)
    while (clock.now < this.load.to) {
      const caller = chance.pick(this.callers.filter(one => !one.isBusy))
      if (caller !== undefined) this.act(caller, action)
      await clock.sleep(1000 / this.load[action] * (0.5 + chance.next()))
    }
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
    const proxy = this.choose(caller)
    if (proxy !== undefined) await this.append(caller, proxy, group, this.nextValue(caller))
  }

  /** A request that isn't repeatable, whose caller tries again under its key until it knows. */
  private async writeOnce (caller: Caller, group: GroupId): Promise<void> {
    const value = this.nextValue(caller)
    const key = this.world.chance.pick(KEYS)!
    for (let i = 0; i < TRIES; i++) {
      const proxy = this.choose(caller)
      const reply = proxy && await this.append(caller, proxy, group, value, { key, once: `once-${value}` })
      if (reply?.outcome === 'done') return
      await this.world.clock.sleep(TRY_AGAIN_MS)
    }
  }

  private async append (caller: Caller, proxy: Proxy, group: GroupId, value: string, more: { key?: string, once?: string, transaction?: TransactionId } = {}): Promise<Reply> {
    const { transaction, once } = more
    const key = more.key ?? this.world.chance.pick(KEYS)!
    const { recorder } = this.world
    const id = recorder.begin({ ...this.base(caller, proxy, group), kind: 'write', key, value, once, transaction })
    const reply = await this.ask(caller, proxy, group, { kind: 'append', key, value, once }, transaction)
    recorder.end(id, answerOf(reply))
    return reply
  }

  private async read (caller: Caller, group: GroupId, freshness: Freshness, transaction?: TransactionId): Promise<void> {
    const proxy = this.choose(caller)
    if (proxy === undefined) return
    const first = this.world.chance.below(KEYS.length)
    const keys = [KEYS[first]!, KEYS[(first + 1) % KEYS.length]!]
    const { recorder, clock } = this.world
    const id = recorder.begin({ ...this.base(caller, proxy, group), kind: 'read', keys, freshness, rows: [], transaction })
    const reply = await this.ask(caller, proxy, group, { kind: 'read', keys }, transaction, freshness)
    if (reply.outcome === 'done' && reply.place !== undefined && transaction === undefined) recorder.served.push({ at: clock.now, place: reply.place })
    recorder.end(id, { outcome: reply.outcome, rows: reply.rows })
  }

  /** Two appends to neighbouring keys and one COMMIT, on one proxy. */
  private async transact (caller: Caller, group: GroupId): Promise<void> {
    const proxy = this.choose(caller)
    if (proxy === undefined) return
    const transaction = `t-${this.nextValue(caller)}` as TransactionId
    const begun = await this.ask(caller, proxy, group, { kind: 'begin' }, transaction)
    if (begun.outcome !== 'done') return
    const first = this.world.chance.below(KEYS.length)
    for (const key of [KEYS[first]!, KEYS[(first + 1) % KEYS.length]!]) {
      const reply = await this.append(caller, proxy, group, this.nextValue(caller), { key, transaction })
      if (reply.outcome !== 'done') return
    }
    const { recorder } = this.world
    const id = recorder.begin({ ...this.base(caller, proxy, group), kind: 'commit', transaction })
    recorder.end(id, answerOf(await this.ask(caller, proxy, group, { kind: 'commit' }, transaction)))
  }

  /** A caller whose connection broke, or who waited too long, can't know what became of its request. */
  private async ask (caller: Caller, proxy: Proxy, group: GroupId, statement: Statement, transaction?: TransactionId, freshness: Freshness = { kind: 'session' }): Promise<Reply> {
    const { network } = this.world
    const connection = network.connect(caller.node, proxy.process.node)
    const reply = await network.ask(connection, CALLER_TIMEOUT_MS, async () =>
      await proxy.run({ session: caller.session, group, statement, transaction, freshness })
    ).catch((err: unknown) => {
      caller.host = undefined
      return err instanceof LinkError && err.isUnsent ? Reply.refuse('notSent') : Reply.refuse('lost')
    })
    connection.break()
    return reply
  }

  private choose (caller: Caller): Proxy | undefined {
    const { chance, live } = this.world
    if (this.load.isRoaming) return chance.pick(live)
    if (caller.host === undefined || caller.host.process.isOver) caller.host = chance.pick(live)
    return caller.host
  }

  private base (caller: Caller, proxy: Proxy, group: GroupId): { readonly session: string, readonly host: string, readonly group: string, readonly from: number } {
    return { session: caller.session, host: proxy.id, group, from: this.world.clock.now }
  }

  private nextValue (caller: Caller): string {
    return `${caller.session}v${++this.values}`
  }
}

function answerOf (reply: Reply): { readonly outcome: Reply['outcome'], readonly term?: number, readonly position?: number } {
  return { outcome: reply.outcome, term: reply.token?.term, position: reply.token?.position }
}
