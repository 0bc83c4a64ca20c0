import { describe, expect, it } from 'vitest'
import type { ConfigVersion } from '../src/core/id/version.ts'
import type { Json } from '../src/core/json.ts'
import { ConfigStore } from '../src/shell/config/store.ts'
import { Submission } from '../src/shell/config/submission.ts'
import type { Row } from '../src/shell/platform/row.ts'
import type { TableService } from '../src/shell/platform/tableservice.ts'

/** A table in memory whose calls can be made to fail before or after they take effect. */
class Memory implements TableService {
  readonly rows = new Map<string, Row>()
  readonly objects = new Map<string, Uint8Array>()
  /** One entry a call of `create`: what goes wrong with it. */
  faults: Array<'none' | 'lost answer' | 'no effect'> = []
  isDown = false

  async get (_pk: string, sk: string): Promise<Row | undefined> {
    this.check()
    return this.rows.get(sk)
  }

  async create (row: Row): Promise<'created' | 'exists'> {
    const fault = this.faults.shift() ?? 'none'
    this.check()
    if (fault === 'no effect') throw new Error('timeout')
    if (this.rows.has(row.sk)) return 'exists'
    this.rows.set(row.sk, row)
    if (fault === 'lost answer') throw new Error('timeout')
    return 'created'
  }

  async replace (): Promise<'replaced' | 'changed'> {
    throw new Error('a version is never replaced')
  }

  async newest (): Promise<Row | undefined> {
    this.check()
    return [...this.rows.values()].at(-1)
  }

  async list (_pk: string, after: string): Promise<readonly Row[]> {
    this.check()
    return [...this.rows.values()].filter(row => row.sk > after)
  }

  get store (): ConfigStore {
    return ConfigStore.of(this, {
      put: async (key, body) => { this.objects.set(key, body) },
      get: async key => this.objects.get(key),
      list: async () => [...this.objects.keys()]
    })
  }

  private check (): void {
    if (this.isDown) throw new Error('down')
  }
}

const group = (id: string, port = 1): Json => ({ id, database: id, endpoints: [{ id: `${id}-1`, address: `10.0.0.1:${port}`, dataCentre: 'dc-1' }] })
const whole: Json = { groups: [group('shop')], pools: [] }

async function submit (memory: Memory, base: number, id: string, body: Json): Promise<string> {
  const patch = { base: base as ConfigVersion, id, by: 'op', why: 'test', at: 0, body }
  const verdict = await Submission.of(memory.store, patch).run()
  switch (verdict.kind) {
    case 'accepted': return `accepted ${verdict.version}`
    case 'outdated': return `outdated ${verdict.newest}: ${verdict.changes}`
    case 'invalid': return `invalid: ${verdict.problem}`
    default: return verdict.kind
  }
}

describe('a submitted patch', () => {
  it('carries the changed parts, or a whole document that replaces what is there', async () => {
    const memory = new Memory()
    expect(await submit(memory, 0, 'a', whole)).toBe('accepted 1')
    expect(await submit(memory, 1, 'b', { change: { groups: [{ id: 'shop', connectionsPerSlot: 30 }] } })).toBe('accepted 2')
    expect(await submit(memory, 2, 'c', { groups: [group('kit', 2)], pools: [] })).toBe('accepted 3')
    const document = JSON.parse(await memory.store.document((await memory.store.newest())!)) as { groups: Json[] }
    expect(document.groups).toEqual([group('kit', 2)])
    expect(await submit(memory, 3, 'd', { change: { groups: [{ id: 'shop', remove: true }] } })).toMatch(/^invalid: groups.shop/)
    expect(await submit(memory, 3, 'd', { change: { colour: 1 } })).toMatch(/^invalid: colour: unknown key/)
    expect(await submit(memory, 9, 'd', whole)).toMatch(/^invalid: version 9 doesn't exist/)
    expect(memory.rows.size).toBe(3)
  })

  // Two operators patch version 1 at once. Both would read version 1, check their result and write; without the
  // condition on the row the second would overwrite the first, whose change is then gone without a word.
  it('loses against a racing one, and its operator is told what changed', async () => {
    const memory = new Memory()
    await submit(memory, 0, 'a', whole)
    const rival: Json = { change: { groups: [{ id: 'shop', connectionsPerSlot: 30 }] } }
    const both = await Promise.all([submit(memory, 1, 'b', rival), submit(memory, 1, 'c', { change: { groups: [group('kit', 2)] } })])
    expect(both).toEqual(['accepted 2', 'outdated 2: + groups.shop.connectionsPerSlot: 30'])
  })

  // The store takes a patch, but its answer never comes back. The operator would submit again and be refused by
  // the operator's own change, or would believe that nothing happened. The id in the row tells whose it is.
  it('whose answer is lost is settled by its id', async () => {
    const memory = new Memory()
    memory.faults = ['lost answer']
    expect(await submit(memory, 0, 'a', whole)).toBe('accepted 1')
    memory.faults = ['no effect', 'lost answer']
    expect(await submit(memory, 1, 'b', whole)).toBe('accepted 2')
    expect(await submit(memory, 0, 'a', whole)).toBe('accepted 1')
    expect(await submit(memory, 0, 'a', { change: {} })).toBe('reused')
    expect(memory.rows.size).toBe(2)
  })

  it('is unknown while the store is down, and the same id settles it later', async () => {
    const memory = new Memory()
    memory.faults = ['lost answer']
    const create = memory.create.bind(memory)
    memory.create = async row => await create(row).finally(() => { memory.isDown = true })
    expect(await submit(memory, 0, 'a', whole)).toBe('unknown')
    memory.isDown = false
    expect(await submit(memory, 0, 'a', whole)).toBe('accepted 1')
  })

  it('keeps a document that is too large for a row in the object store', async () => {
    const memory = new Memory()
    const groups = Array.from({ length: 1000 }, (_, i) => group(`group-${i}`, i + 1))
    expect(await submit(memory, 0, 'a', { groups, pools: [] })).toBe('accepted 1')
    expect([...memory.objects.keys()]).toEqual(['config/000000000001-a'])
    expect(await submit(memory, 1, 'b', { change: { groups: [{ id: 'group-7', remove: true }] } })).toBe('accepted 2')
  })
})
