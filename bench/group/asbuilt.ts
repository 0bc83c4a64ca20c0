/** The product's own decisions. */

import { Admission } from '../../src/core/admission/admission.ts'
import type { Limits } from '../../src/core/admission/limits.ts'
import type { Instant } from '../../src/core/id/instant.ts'
import { connectionsPerOwner } from '../../src/core/pool/placing/connectionsperowner.ts'
import { ConnectionScarcity } from '../../src/core/pool/placing/connectionscarcity.ts'
import type { Policy } from '../load/policy.ts'
import type { GroupPolicy } from './policy.ts'

export class AsBuilt implements GroupPolicy {
  private constructor (readonly name: string, private readonly change: Partial<GroupPolicy>) {}

  static create (): AsBuilt {
    return new AsBuilt('as built', {})
  }

  /** The product's decisions but for some. */
  static but (name: string, change: Partial<Omit<GroupPolicy, 'name'>>): AsBuilt {
    return new AsBuilt(name, change)
  }

  get order (): GroupPolicy['order'] {
    return this.change.order
  }

  get aim (): GroupPolicy['aim'] {
    return this.change.aim
  }

  get reportMs (): GroupPolicy['reportMs'] {
    return this.change.reportMs
  }

  share (connections: number, hosts: number): number {
    return this.change.share?.(connections, hosts) ?? connectionsPerOwner(connections, hosts)
  }

  admission (limits: Limits): Policy {
    return this.change.admission?.(limits) ?? Admission.create(limits)
  }

  restMs (now: Instant, startedAt: Instant, refusedAt: Instant | undefined): number | undefined {
    if (this.change.restMs !== undefined) return this.change.restMs(now, startedAt, refusedAt)
    const thrift = ConnectionScarcity.started(startedAt)
    return (refusedAt === undefined ? thrift : thrift.refused(refusedAt)).idleTimeoutMs(now)
  }
}
