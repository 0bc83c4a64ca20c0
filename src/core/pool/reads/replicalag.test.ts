/** When a replica that is behind is worth asking. */

import { describe, expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { Token } from '../../token.ts'
import { ReplicaLag } from './replicalag.ts'
import { LogProgress } from './logprogress.ts'

const at = (position: number) => Token.of(1, position)

/** The primary writes position `n` at instant `10n`, and is sampled each 10 ms. */
function primaryUntil (now: number): LogProgress {
  return Array.from({ length: Math.floor(now / 10) }, (_, i) => i + 1).reduce((sum, n) => sum.with(at(n), n * 10 as Instant), LogProgress.empty)
}

/** A replica that answered at these instants, with the lag that it had at each. */
function replica (...answers: Array<readonly [now: number, lagMs: number]>): ReplicaLag {
  return answers.reduce((lag, [now, lagMs]) => {
    const position = at(Math.floor((now - lagMs) / 10))
    return lag.answered(position, primaryUntil(now).lagBounds(position, now as Instant), now as Instant)
  }, ReplicaLag.unknown)
}

function wait (lag: ReplicaLag, position: number, now: number): number | undefined {
  return lag.waitMs(at(position), primaryUntil(now).reachedAt(at(position)), now as Instant)
}

describe('the wait until a replica contains a position', () => {
  const healthy = replica([500, 90], [510, 90])

  it.each<[string, ReplicaLag, number, number, number | undefined]>([
    ['nothing is known', ReplicaLag.unknown, 50, 510, 0],
    ['it has answered with the position', healthy, 42, 520, 0],
    ['what was written 100 ms ago', healthy, 41, 520, 0],
    ['the session wrote just now', healthy, 51, 520, 80],
    ['it refused just now what it should contain', healthy.withRefusal(520 as Instant), 43, 530, undefined],
    ['and is asked again soon after', healthy.withRefusal(520 as Instant), 43, 620, 0],
    ['5 s behind, and it answered just now', replica([5000, 90], [6000, 5000]), 300, 6050, undefined],
    ['5 s behind, and it hasn\'t answered for a while', replica([5000, 90], [6000, 5000]), 300, 6100, 0],
    ['not for what it wouldn\'t contain with its baseline lag', replica([5000, 90], [6000, 5000]), 605, 6100, undefined],
    ['a trial read was sent', replica([5000, 90], [6000, 5000]).withRead(at(300), 6100 as Instant), 300, 6150, undefined],
    ['5 s behind since this host started', replica([6000, 5000]), 300, 6050, undefined],
    ['and it hasn\'t answered for a while', replica([6000, 5000]), 300, 6100, 0],
    ['it has caught up', replica([5000, 90], [6000, 5000], [6100, 90]), 601, 6110, 0],
    ['a session\'s own commit, now that it has caught up', replica([5000, 90], [6000, 5000], [6100, 90]), 610, 6110, 80]
  ])('%s', (_, lag, position, now, expected) => {
    const ms = wait(lag, position, now)
    if (expected === undefined || ms === undefined) expect(ms).toBe(expected)
    else expect(Math.abs(ms - expected)).toBeLessThanOrEqual(10)
  })

  it('a replica that is 5 s behind for 6 s is asked ten times a second, and used within 100 ms of catching up', () => {
    // Reads must not be sent in vain to a replica that is behind, yet it must be used again soon after it has caught up. The replica stops at a position; a
    // hundred reads per second ask for what is a second old; after 6 s it has caught up.
    let lag = replica([990, 90])
    const asked: number[] = []
    for (let now = 1000; now < 7200; now += 10) {
      const position = Math.floor((now - 1000) / 10)
      const held = now < 7000 ? 50 : Math.floor((now - 90) / 10)
      if (wait(lag, position, now) !== 0) continue
      asked.push(now)
      lag = lag.withRead(at(position), now as Instant).answered(at(held), primaryUntil(now).lagBounds(at(held), now as Instant), now as Instant)
      if (position > held) lag = lag.withRefusal(now as Instant)
    }
    const inVain = asked.filter(now => now > 1500 && now < 7000)
    expect(inVain.length).toBeLessThanOrEqual(56)
    expect(asked.find(now => now >= 7000)).toBeLessThanOrEqual(7100)
    expect(asked.filter(now => now >= 7100)).toHaveLength(10)
  })
})
