/** The stand-in for the table service: the DynamoDB JSON API, in memory. */

import { holdsCondition } from './condition.ts'
import type { Item } from './item.ts'

interface Write {
  readonly TableName: string
  readonly Key?: Item
  readonly Item?: Item
  readonly ConditionExpression?: string
  readonly UpdateExpression?: string
  readonly ExpressionAttributeNames?: Record<string, string>
  readonly ExpressionAttributeValues?: Record<string, unknown>
}

interface Query extends Write {
  readonly KeyConditionExpression: string
  readonly ScanIndexForward?: boolean
  readonly Limit?: number
}

interface Answer {
  readonly status: number
  readonly body: object
}

/** All tables have the string keys `pk` and `sk`. */
export class Tables {
  private readonly tables = new Map<string, Map<string, Item>>()
  reads = 0
  writes = 0

  static create (): Tables {
    return new Tables()
  }

  handle (operation: string, req: unknown): Answer {
    switch (operation) {
      case 'GetItem': return this.get(req as Write)
      case 'PutItem': return this.write([req as Write])
      case 'UpdateItem': return this.write([req as Write])
      case 'DeleteItem': return this.write([{ ...req as Write, Item: undefined }])
      case 'Query': return this.query(req as Query)
      case 'TransactWriteItems': return this.transact(req as { TransactItems: Array<Record<string, Write>> })
      default: return failure('UnknownOperationException', `${operation} isn't supported by the stand-in`)
    }
  }

  private table (name: string): Map<string, Item> {
    const table = this.tables.get(name) ?? new Map<string, Item>()
    this.tables.set(name, table)
    return table
  }

  private get (req: Write): Answer {
    this.reads++
    const Item = this.table(req.TableName).get(keyOf(req.Key!))
    return { status: 200, body: Item === undefined ? {} : { Item } }
  }

  private query (req: Query): Answer {
    this.reads++
    const items = [...this.table(req.TableName).values()]
      .filter(item => holdsCondition(req.KeyConditionExpression, item, req.ExpressionAttributeNames, req.ExpressionAttributeValues))
      .sort((a, b) => sortKey(a) < sortKey(b) ? -1 : 1)
    if (req.ScanIndexForward === false) items.reverse()
    const Items = items.slice(0, req.Limit ?? items.length)
    return { status: 200, body: { Items, Count: Items.length, ScannedCount: Items.length } }
  }

  private write (writes: readonly Write[]): Answer {
    const failed = writes.map(write => !this.holds(write))
    if (failed.includes(true)) {
      if (writes.length === 1) return failure('ConditionalCheckFailedException', 'The conditional request failed')
      return {
        status: 400,
        body: {
          __type: 'com.amazonaws.dynamodb.v20120810#TransactionCanceledException',
          message: 'Transaction cancelled',
          CancellationReasons: failed.map(isFailed => ({ Code: isFailed ? 'ConditionalCheckFailed' : 'None' }))
        }
      }
    }
    for (const write of writes) this.apply(write)
    return { status: 200, body: {} }
  }

  private holds (write: Write): boolean {
    const old = this.table(write.TableName).get(keyOf(write.Item ?? write.Key!))
    return holdsCondition(write.ConditionExpression, old, write.ExpressionAttributeNames, write.ExpressionAttributeValues)
  }

  private apply (write: Write): void {
    this.writes++
    const table = this.table(write.TableName)
    if (write.Item !== undefined) {
      table.set(keyOf(write.Item), write.Item)
      return
    }
    const key = keyOf(write.Key!)
    if (write.UpdateExpression === undefined) {
      table.delete(key)
      return
    }
    table.set(key, { ...write.Key, ...table.get(key), ...assignments(write) })
  }

  private transact (req: { TransactItems: Array<Record<string, Write>> }): Answer {
    const checks = req.TransactItems.filter(item => item.ConditionCheck !== undefined).map(item => item.ConditionCheck!)
    const writes = req.TransactItems
      .map(item => item.Put ?? item.Update ?? item.Delete)
      .filter(write => write !== undefined)
    if (checks.some(check => !this.holds(check))) return failure('TransactionCanceledException', 'Transaction cancelled')
    return this.write(writes)
  }
}

/** `SET a = :x, b = :y` only. */
function assignments (write: Write): Item {
  const body = /^\s*SET\s+(.*)$/is.exec(write.UpdateExpression!)?.[1]
  if (body === undefined) throw new Error(`update not supported by the stand-in: ${write.UpdateExpression}`)
  return Object.fromEntries(body.split(',').map(part => {
    const [name, value] = part.split('=').map(side => side.trim())
    return [write.ExpressionAttributeNames?.[name!] ?? name!, write.ExpressionAttributeValues?.[value!]]
  }))
}

function keyOf (item: Item): string {
  return `${stringOf(item.pk)}\u0000${sortKey(item)}`
}

function sortKey (item: Item): string {
  return stringOf(item.sk)
}

function stringOf (value: unknown): string {
  return (value as { S?: string } | undefined)?.S ?? ''
}

function failure (kind: string, message: string): Answer {
  return { status: 400, body: { __type: `com.amazonaws.dynamodb.v20120810#${kind}`, message } }
}
