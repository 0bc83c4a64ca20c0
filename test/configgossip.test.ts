import { describe, expect, it } from 'vitest'
import { Members } from '../bench/members.ts'

const MOST_MS = 5000
const start = (members = 2000): Members => {
  const it = Members.start({ members, seed: 11, wholeBytes: 2_000_000, changeBytes: 100 })
  it.accept()
  expect(it.spread(MOST_MS)).toBeDefined()
  it.clock.run(MOST_MS)
  return it
}

/** All times are of the virtual clock, so the verdict is the same on every machine. */
describe('a version among 2,000 members', () => {
  it('is everywhere within 5 s, as a change, with few reads of the store', () => {
    const members = start()
    const [wholes, changes, reads] = [members.wholes, members.changes, members.storeReads]
    members.accept()
    expect(members.spread(MOST_MS)).toBeLessThan(MOST_MS)
    members.clock.run(MOST_MS)
    expect(members.wholes).toBe(wholes)
    // Five partners each, and at most one more for whoever asked meanwhile.
    expect(members.changes - changes).toBeLessThan(2000 * 6)
    expect((members.storeReads - reads) / 5).toBeLessThan(500)
  })

  // A data centre burns down. The host list still shows its hosts, so others count on its pollers and partners.
  it('is everywhere within 5 s though a data centre is lost', () => {
    const members = start()
    members.lose(0)
    members.accept()
    expect(members.spread(MOST_MS)).toBeLessThan(MOST_MS)
  })

  // A region is cut off from the others and the store, and versions are accepted meanwhile. When it's back its
  // members must not wait for their own rare polls, nor ask all their partners for the document at once.
  it('reaches a region that was cut off within 5 s of its return', () => {
    const members = start()
    members.cut(0, true)
    for (let i = 0; i < 10; i++) {
      members.accept()
      members.clock.run(500)
    }
    members.clock.run(MOST_MS)
    const behind = members.versionsBehind()
    expect(behind).toBe(750)
    const wholes = members.wholes
    members.cut(-1, false)
    expect(members.spread(MOST_MS)).toBeLessThan(MOST_MS)
    members.clock.run(MOST_MS)
    expect(members.wholes - wholes).toBeLessThan(behind * 1.5)
  })

  it('reaches a region that has the store but no other region', () => {
    const members = start()
    members.cut(0, false)
    members.accept()
    expect(members.spread(MOST_MS)).toBeLessThan(MOST_MS)
  })
})
