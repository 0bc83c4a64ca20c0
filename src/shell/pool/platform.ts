/** The services that a process needs from the platform it runs on. */

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
  /** The table and key of the operator's configuration; the row holds the whole newest version. */
  readonly config: { readonly table: string, readonly key: string, readonly parse: (text: string) => Result<PoolConfig, string> }
  /** The table in which endpoints list themselves, each under its id. */
  readonly endpoints: { readonly table: string, readonly parse: (id: string, text: string) => Endpoint | undefined }
}
