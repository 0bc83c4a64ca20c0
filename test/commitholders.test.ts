/** Guards against a promotion that loses acknowledged commits, by a host that never saw the endpoint which holds them. Real sockets. */

import { afterEach, describe, expect, it } from 'vitest'
import type { GroupId } from '../src/core/id/group.ts'
import type { LineEndpoint } from '../standin/lines/endpoint.ts'
import { LineStage } from '../standin/lines/stage.ts'

let stage: LineStage

afterEach(async () => await stage.stop())

describe('a crashed primary whose commits wait for a replica', () => {
  it('is not replaced by a host that started after the replica which may have them left the directory', async () => {
    stage = await LineStage.start({ syncReplicas: 1 })
    const [primary, current, behind] = stage.endpoints as [LineEndpoint, LineEndpoint, LineEndpoint]
    const before = await stage.caller('strict')
    await before.ask('w', 'WRITE 1 x')
    current.position = 1
    await current.stop()
    stage.store.put('servers', current.id, undefined)
    await stage.until(() => stage.node.context.group('svc' as GroupId)!.endpoints.length === 2)
    stage.hosts[0]!.stop()
    const { node } = await stage.addHost()
    await stage.until(() => node.isReady)
    const after = await stage.caller('strict', 1)
    await after.ask('r', 'READ 1')
    await primary.stop()
    await after.ask('w', 'WRITE 2 y')
    const asked = () => behind.heard.filter(text => text.includes('|-|PAUSE')).length
    await stage.until(() => stage.store.orders.length > 0 || asked() > 1)
    expect(stage.store.orders.map(({ id }) => id)).toEqual([])
  })
})
