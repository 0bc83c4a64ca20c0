/** A store that one host can be cut off from. */

import { err } from 'neverthrow'
import type { RowStore } from '../../src/shell/pool/membership/rowstore.ts'

/** How soon a question fails once it's cut. */
const FAIL_MS = 20

export class CuttableStore implements RowStore {
  private isCut = false

  private constructor (private readonly store: RowStore) {}

  static create (store: RowStore): CuttableStore {
    return new CuttableStore(store)
  }

  cut (): void {
    this.isCut = true
  }

  async read (...args: Parameters<RowStore['read']>): ReturnType<RowStore['read']> {
    return await this.unlessCut(async () => await this.store.read(...args))
  }

  async changes (...args: Parameters<RowStore['changes']>): ReturnType<RowStore['changes']> {
    return await this.unlessCut(async () => await this.store.changes(...args))
  }

  async change (...args: Parameters<RowStore['change']>): ReturnType<RowStore['change']> {
    return await this.unlessCut(async () => await this.store.change(...args))
  }

  /** An answer that comes after the cut is lost too. */
  private async unlessCut<T> (ask: () => Promise<T>): Promise<T> {
    const answer = this.isCut ? undefined : await ask()
    if (!this.isCut) return answer!
    await new Promise(resolve => setTimeout(resolve, FAIL_MS))
    return err('unavailable') as T
  }
}
