/** What a node needs of the platform that it runs on. */

import type { Result } from 'neverthrow'
import type { Endpoint } from '../../core/directory/endpoint.ts'
import type { PoolConfig } from '../../core/pool/config.ts'
import type { Dialer } from './connections/dialer.ts'
import type { PromotionOrders } from './failover/orders.ts'
import type { RowStore } from './membership/rowstore.ts'

export interface Platform {
  readonly store: RowStore
  readonly dialer: Dialer
  readonly orders: PromotionOrders
  /** Where the operator's configuration lies: its newest version, whole, under one key. */
  readonly config: { readonly table: string, readonly key: string, readonly parse: (text: string) => Result<PoolConfig, string> }
  /** Where endpoints list themselves, each under its id. */
  readonly endpoints: { readonly table: string, readonly parse: (id: string, text: string) => Endpoint | undefined }
}
