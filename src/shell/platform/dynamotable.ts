/** The table service over the DynamoDB API. */

import {
  ConditionalCheckFailedException, DynamoDBClient, GetItemCommand, PutItemCommand, QueryCommand, type AttributeValue
} from '@aws-sdk/client-dynamodb'
import { NodeHttpHandler } from '@smithy/node-http-handler'
import type { Row } from './row.ts'
import type { TableService } from './tableservice.ts'

interface Options {
  readonly url: string
  readonly table: string
  readonly region: string
  readonly timeoutMs: number
}

/** One table with the keys `pk` and `sk`. The SDK reads the credentials from the environment. */
export class DynamoTable implements TableService {
  private constructor (private readonly client: DynamoDBClient, private readonly table: string) {}

  static open ({ url, table, region, timeoutMs }: Options, signal: AbortSignal): DynamoTable {
    const requestHandler = new NodeHttpHandler({ connectionTimeout: timeoutMs, requestTimeout: timeoutMs, throwOnRequestTimeout: true })
    const client = new DynamoDBClient({ endpoint: url, region, maxAttempts: 1, requestHandler })
    signal.addEventListener('abort', () => client.destroy(), { once: true })
    return new DynamoTable(client, table)
  }

  async get (pk: string, sk: string): Promise<Row | undefined> {
    const answer = await this.client.send(new GetItemCommand({
      TableName: this.table, Key: { pk: { S: pk }, sk: { S: sk } }, ConsistentRead: true
    }))
    return answer.Item === undefined ? undefined : rowOf(answer.Item)
  }

  async create (row: Row): Promise<'created' | 'exists'> {
    const isWritten = await this.put(row, { ConditionExpression: 'attribute_not_exists(pk)' })
    return isWritten ? 'created' : 'exists'
  }

  async replace (row: Row, revision: number): Promise<'replaced' | 'changed'> {
    const isWritten = await this.put(row, {
      ConditionExpression: 'revision = :revision',
      ExpressionAttributeValues: { ':revision': { N: String(revision) } }
    })
    return isWritten ? 'replaced' : 'changed'
  }

  async newest (pk: string): Promise<Row | undefined> {
    const answer = await this.client.send(new QueryCommand({
      TableName: this.table,
      KeyConditionExpression: 'pk = :pk',
      ExpressionAttributeValues: { ':pk': { S: pk } },
      ScanIndexForward: false,
      Limit: 1,
      ConsistentRead: true
    }))
    const item = answer.Items?.[0]
    return item === undefined ? undefined : rowOf(item)
  }

  async list (pk: string, after: string, most: number): Promise<readonly Row[]> {
    const answer = await this.client.send(new QueryCommand({
      TableName: this.table,
      KeyConditionExpression: 'pk = :pk AND sk > :after',
      ExpressionAttributeValues: { ':pk': { S: pk }, ':after': { S: after } },
      Limit: most,
      ConsistentRead: true
    }))
    return (answer.Items ?? []).map(rowOf)
  }

  /** Returns false if the condition failed and nothing was written; rejects on all other errors. */
  private async put (row: Row, condition: { ConditionExpression: string, ExpressionAttributeValues?: Record<string, AttributeValue> }): Promise<boolean> {
    try {
      await this.client.send(new PutItemCommand({
        TableName: this.table,
        Item: { pk: { S: row.pk }, sk: { S: row.sk }, revision: { N: String(row.revision) }, body: { S: row.body } },
        ...condition
      }))
      return true
    } catch (err) {
      if (err instanceof ConditionalCheckFailedException) return false
      throw err
    }
  }
}

function rowOf (item: Record<string, AttributeValue>): Row {
  return {
    pk: item.pk?.S ?? '',
    sk: item.sk?.S ?? '',
    revision: Number(item.revision?.N ?? 0),
    body: item.body?.S ?? ''
  }
}
