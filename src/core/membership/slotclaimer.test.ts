/** Claims on slots under races, lost answers and failed holders. */

import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { HostId } from '../id/host.ts'
import type { Instant } from '../id/instant.ts'
import type { Claim } from './claim.ts'
import { SlotClaimer } from './slotclaimer.ts'

const SLOTS = 2

/** The table service: compare-and-set by revision. */
class Table {
  rows: readonly Claim[] = []

  write (claim: Claim): boolean {
    const old = this.rows.find(row => row.index === claim.index)
    if ((old?.revision ?? 0) !== claim.revision - 1) return false
    this.rows = [...this.rows.filter(row => row.index !== claim.index), claim]
    return true
  }
}

type Pending = { readonly kind: 'read' } | { readonly kind: 'write', readonly claim: Claim }

/** One process; its requests take effect when the schedule says so, and their answers may be lost. */
class Process {
  claimer: SlotClaimer
  pending: Pending | undefined
  hasSlot = false

  constructor (readonly host: HostId, now: number, claimTimeoutMs: number) {
    this.claimer = SlotClaimer.begin({
      host, incarnation: `${host}/1`, slots: SLOTS, claimTimeoutMs, unknownHolderMs: 30_000, claimStatus: () => 'held'
    }, now as Instant)
  }

  apply (event: Parameters<SlotClaimer['step']>[0], now: number): void {
    const { claimer, actions } = this.claimer.step(event, now as Instant, 0.5)
    this.claimer = claimer
    for (const action of actions) {
      if (action.kind === 'take') this.hasSlot = true
      else this.pending = action
    }
  }

  serve (table: Table, isLost: boolean, now: number): void {
    const { pending } = this
    if (pending === undefined) return
    this.pending = undefined
    const event = pending.kind === 'read'
      ? { kind: 'read' as const, claims: table.rows }
      : table.write(pending.claim) ? { kind: 'written' as const } : { kind: 'changed' as const }
    this.apply(isLost ? { kind: 'failed' } : event, now)
  }
}

describe('claims on the two slots of an endpoint', () => {
  // Guards against more connections than the server accepts: four processes that can't reach each other claim the two
  // slots, and answers of the store are lost after their write took effect.
  it('go to no more than two processes, whatever is lost and whoever goes first', () => {
    const turn = fc.tuple(fc.integer({ min: 0, max: 3 }), fc.boolean(), fc.integer({ min: 0, max: 300 }))
    fc.assert(fc.property(fc.array(turn, { minLength: 20, maxLength: 80 }), turns => {
      const table = new Table()
      const all = ['a', 'b', 'c', 'd'].map(id => new Process(id as HostId, 0, Infinity))
      let now = 0
      for (const [i, isLost, ms] of turns) {
        now += ms
        all[i]!.apply({ kind: 'tick' }, now)
        all[i]!.serve(table, isLost, now)
        expect(all.filter(one => one.hasSlot).length).toBeLessThanOrEqual(SLOTS)
      }
      for (let i = 0; i < 200; i++) {
        now += 1000
        for (const one of all) one.apply({ kind: 'tick' }, now)
        for (const one of all) one.serve(table, false, now)
      }
      expect(all.filter(one => one.hasSlot)).toHaveLength(SLOTS)
    }), { seed: 7, numRuns: 300 })
  })

  it('are skipped while the store does not answer, and written later', () => {
    const table = new Table()
    const one = new Process('a' as HostId, 0, 1000)
    for (const now of [0, 500, 999]) {
      one.apply({ kind: 'tick' }, now)
      one.serve(table, true, now)
      expect(one.hasSlot).toBe(false)
    }
    one.apply({ kind: 'tick' }, 1000)
    expect(one.hasSlot).toBe(true)
    for (let now = 20_000; now < 30_000; now += 1000) {
      one.apply({ kind: 'tick' }, now)
      one.serve(table, false, now)
    }
    expect(one.claimer.isClaimed).toBe(true)
    expect(table.rows).toMatchObject([{ index: 0, host: 'a' }])
  })

  it.each<[string, Claim[], number | undefined]>([
    ['nobody has claimed', [], 0],
    ['the previous process of this host had', [claim(0, 'b'), claim(1, 'me')], 1],
    ['was released', [claim(0, 'b'), claim(1, '')], 1],
    ['a host that is gone had', [claim(0, 'b'), claim(1, 'gone')], 1],
    ['a host that nobody knows yet has', [claim(0, 'b'), claim(1, 'unknown')], undefined],
    ['is held by others', [claim(0, 'b'), claim(1, 'c')], undefined]
  ])('handle a slot that %s', (_, claims, index) => {
    expect(chosenSlot(begin().step({ kind: 'read', claims }, 0 as Instant, 0))).toBe(index)
  })

  it('replace that of a host that stays unknown', () => {
    const claims = [claim(0, 'b'), claim(1, 'unknown')]
    const { claimer } = begin().step({ kind: 'read', claims }, 0 as Instant, 0)
    expect(chosenSlot(claimer.step({ kind: 'read', claims }, 29_999 as Instant, 0))).toBe(undefined)
    expect(chosenSlot(claimer.step({ kind: 'read', claims }, 30_000 as Instant, 0))).toBe(1)
  })
})

function begin (): SlotClaimer {
  const claimStatus = ({ host }: Claim): 'held' | 'gone' | 'unknown' => {
    const name: string = host
    return name === 'gone' || name === 'unknown' ? name : 'held'
  }
  return SlotClaimer.begin({
    host: 'me' as HostId, incarnation: 'me/2', slots: SLOTS, claimTimeoutMs: 1000, unknownHolderMs: 30_000, claimStatus
  }, 0 as Instant)
}

function chosenSlot ({ actions }: ReturnType<SlotClaimer['step']>): number | undefined {
  return actions.map(action => action.kind === 'write' ? action.claim.index : undefined)[0]
}

function claim (index: number, host: string): Claim {
  return { index, revision: 1, host: host as HostId, incarnation: `${host}/1` }
}
