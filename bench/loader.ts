/** The load generator of the proxy benchmark: a process of its own, so that it doesn't share a core with what it measures. */

import mysql from 'mysql2'
import { build } from 'hdr-histogram-js'
import { arg } from '../standin/args.ts'

const connections = Number(arg('connections'))
const seconds = Number(arg('seconds'))
const sql = arg('sql')
const MICROS = 1000

const clients = await Promise.all(Array.from({ length: connections }, open))
const warmUp = await drive(seconds / 4)
const measured = await drive(seconds)
process.stdout.write(JSON.stringify({ ...measured, statements: warmUp.statements + measured.statements }) + '\n')
for (const client of clients) client.destroy()

async function open (): Promise<mysql.Connection> {
  const client = mysql.createConnection({
    host: '127.0.0.1', port: Number(arg('port')), user: arg('user'), password: arg('password'), database: 'shop'
  })
  return await new Promise((resolve, reject) => {
    client.once('connect', () => resolve(client))
    client.once('error', reject)
  })
}

/** Each connection sends its next statement when the last was answered. */
async function drive (forSeconds: number): Promise<{ perSecond: number, statements: number, medianMs: number, p99Ms: number, failed: number }> {
  const histogram = build({ numberOfSignificantValueDigits: 3 })
  const began = performance.now()
  const end = began + forSeconds * 1000
  let failed = 0
  await Promise.all(clients.map(async client => await new Promise<void>(resolve => {
    const next = (): void => {
      const sentAt = performance.now()
      if (sentAt >= end) return resolve()
      client.query(sql, err => {
        if (err !== null) failed++
        histogram.recordValue(Math.max(1, Math.round((performance.now() - sentAt) * MICROS)))
        next()
      })
    }
    next()
  })))
  return {
    statements: histogram.totalCount,
    perSecond: histogram.totalCount * 1000 / (performance.now() - began),
    medianMs: histogram.getValueAtPercentile(50) / MICROS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROS,
    failed
  }
}
