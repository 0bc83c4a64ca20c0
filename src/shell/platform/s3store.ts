/** The object store over the S3 API. */

import { GetObjectCommand, ListObjectsV2Command, NoSuchKey, PutObjectCommand, S3Client } from '@aws-sdk/client-s3'
import { NodeHttpHandler } from '@smithy/node-http-handler'
import type { ObjectStore } from './objectstore.ts'

interface Options {
  readonly url: string
  readonly bucket: string
  readonly region: string
  readonly timeoutMs: number
}

/** One bucket, with path-style URLs. The SDK reads the credentials from the environment. */
export class S3Store implements ObjectStore {
  private constructor (private readonly client: S3Client, private readonly bucket: string) {}

  static open ({ url, bucket, region, timeoutMs }: Options, signal: AbortSignal): S3Store {
    const requestHandler = new NodeHttpHandler({ connectionTimeout: timeoutMs, requestTimeout: timeoutMs, throwOnRequestTimeout: true })
    const client = new S3Client({ endpoint: url, region, maxAttempts: 1, forcePathStyle: true, requestHandler })
    signal.addEventListener('abort', () => client.destroy(), { once: true })
    return new S3Store(client, bucket)
  }

  async put (key: string, body: Uint8Array): Promise<void> {
    await this.client.send(new PutObjectCommand({ Bucket: this.bucket, Key: key, Body: body }))
  }

  async get (key: string): Promise<Uint8Array | undefined> {
    try {
      const answer = await this.client.send(new GetObjectCommand({ Bucket: this.bucket, Key: key }))
      return await answer.Body?.transformToByteArray()
    } catch (err) {
      if (err instanceof NoSuchKey) return undefined
      throw err
    }
  }

  async list (prefix: string, after: string, most: number): Promise<readonly string[]> {
    const answer = await this.client.send(new ListObjectsV2Command({
      Bucket: this.bucket, Prefix: prefix, StartAfter: after === '' ? undefined : after, MaxKeys: most
    }))
    return (answer.Contents ?? []).map(object => object.Key ?? '')
  }
}
