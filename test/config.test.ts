import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { Stage } from '../standin/stage.ts'

let stage: Stage

beforeAll(async () => { stage = await Stage.start({ proxies: 3 }) })
afterAll(async () => await stage.stop())

/** The versions that a proxy put in force, in order, from its log. */
function applied (i: number): readonly number[] {
  const lines = stage.proxies[i]!.child!.lines.filter(line => line.includes('"event":5001'))
  return lines.map(line => (JSON.parse(line) as { version: number }).version)
}

async function until (holds: () => Promise<boolean> | boolean): Promise<void> {
  while (!await holds()) await new Promise(resolve => { setTimeout(resolve, 20) })
}

async function everywhere (version: number, proxies = [0, 1, 2]): Promise<void> {
  await until(() => proxies.every(i => applied(i).at(-1) === version))
}

async function ready (i: number): Promise<{ status: number, text: string }> {
  const res = await fetch(`http://127.0.0.1:${stage.proxies[i]!.metrics}/ready`)
  return { status: res.status, text: await res.text() }
}

async function restart (i: number): Promise<void> {
  await stage.proxies[i]!.child!.end('SIGKILL')
  await stage.startProxy(i)
}

const change = (connectionsPerSlot: number): object => ({ change: { groups: [{ id: 'shop', connectionsPerSlot }] } })

describe('the configuration of a whole system', () => {
  it('is patched, compared and listed from the command line', async () => {
    expect(await stage.patch(1, change(20))).toMatchObject({ code: 0, stdout: 'version 2 accepted\n' })
    await everywhere(2)
    const late = await stage.patch(1, change(30))
    expect(late.code).toBe(1)
    expect(late.stderr).toContain('version 2 is the newest')
    expect(late.stderr).toContain('~ groups.shop.connectionsPerSlot: 16 -> 20')
    expect(await stage.patch(2, { change: { colour: 'red' } })).toMatchObject({ code: 2 })
    expect((await stage.cli('diff', '1', '2')).stdout).toBe('~ groups.shop.connectionsPerSlot: 16 -> 20\n')
    expect(JSON.parse((await stage.cli('show', '2')).stdout)).toMatchObject({ groups: [{ id: 'shop', connectionsPerSlot: 20 }] })
    expect(await stage.cli('show', '9')).toMatchObject({ code: 1 })
    expect(JSON.parse((await stage.cli('history', '--json')).stdout)).toMatchObject([{ version: 1 }, { version: 2 }])
    expect(await stage.cli('status')).toMatchObject({ code: 0 })
  })

  // Two operators patch the same version at once: one wins, the other is told.
  it('lets one of two racing operators win', async () => {
    const both = await Promise.all([stage.patch(2, change(21)), stage.patch(2, change(22))])
    expect(both.map(one => one.code).sort()).toEqual([0, 1])
    await everywhere(3)
  })

  // A proxy is paused while the configuration changes twice and the store goes down. When it wakes up it still has
  // the old version and may tell it to others; all must end at the newest, and none may go back on the way.
  it('is never reverted by a proxy that was frozen, nor by a store outage', async () => {
    stage.proxies[2]!.child!.signal('SIGSTOP')
    await stage.patch(3, change(23))
    await stage.patch(4, change(24))
    await everywhere(5, [0, 1])
    await stage.faults({ down: true })
    stage.proxies[2]!.child!.signal('SIGCONT')
    await everywhere(5)
    for (const i of [0, 1, 2]) expect([...applied(i)].sort((a, b) => a - b)).toEqual(applied(i))
    await stage.faults({ down: false })
  })

  // A proxy is replaced while the store is down: it takes what its peers have, and serves.
  it('comes from the peers while the store is down', async () => {
    await stage.faults({ down: true })
    await restart(1)
    await everywhere(5)
    expect(applied(1)).toEqual([5])
    expect((await ready(1)).status).toBe(200)
    const status = await stage.cli('status')
    expect(status).toMatchObject({ code: 0 })
    expect(status.stdout).toContain('waits: the next poll')
    await stage.faults({ down: false })
  })

  // All proxies start anew while the store is down: nobody has a configuration, and each says why it isn't ready.
  it('is missed aloud when neither the store nor a peer has it', async () => {
    await stage.faults({ down: true })
    await Promise.all([0, 1, 2].map(async i => await stage.proxies[i]!.child!.end('SIGKILL')))
    await Promise.all([0, 1, 2].map(async i => await stage.startProxy(i)))
    await until(async () => (await ready(0)).text.includes('the store does not answer'))
    expect((await ready(0)).status).toBe(503)
    await stage.faults({ down: false })
    await everywhere(5)
  })

  // The store takes a patch and its answer is lost, then goes down. Until it's back nobody can say whether the
  // patch was accepted; the same command with the same id settles it, and doesn't make a second version.
  it('settles a lost answer by the id of the patch', async () => {
    await stage.faults({ loseAnswers: 1 })
    expect(await stage.patch(5, change(25))).toMatchObject({ code: 0, stdout: 'version 6 accepted\n' })
    await stage.faults({ down: true })
    const lost = await stage.patch(6, change(26))
    expect(lost.code).toBe(3)
    expect(lost.stderr).toMatch(/run the same command with --id [\w-]+/)
    await stage.faults({ down: false })
    await everywhere(6)
  })
})
