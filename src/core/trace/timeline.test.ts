/** A request's timeline is found in mixed and truncated logs. */

import { expect, it } from 'vitest'
import { LogLine } from './logline.ts'
import { timelineOf } from './timeline.ts'

/** A line at so many milliseconds, as a log collector passes it on. */
function text (ms: number, host: string, event: number, fields: Record<string, unknown>): string {
  return `  3.1 ${host} ${JSON.stringify({ level: 30, time: new Date(1_700_000_000_000 + ms).toISOString(), host, event, ...fields, msg: 'm' })}`
}

function timeline (id: string, ...texts: string[]): string[] {
  const lines = texts.map(one => LogLine.parse(one)).filter(line => line !== undefined)
  return timelineOf(id, lines).map(one => one.replace(/\d{4}-\S+ /, '').replace(' m:', ''))
}

const refused = text(1000, 'a', 6002, { id: 'x1', transaction: 't1', group: 'g', outcome: 'busy' })

it('joins the lines of the request, of its transaction and of its group around that time', () => {
  expect(timeline('x1',
    text(2000, 'b', 3005, { group: 'g', leader: 'e2' }),
    refused,
    text(900, 'a', 6003, { id: 'x0', transaction: 't1', group: 'g' }),
    text(950, 'a', 6002, { id: 'other', transaction: 'none', group: 'g' }),
    text(500, 'b', 3005, { group: 'h', leader: 'e9' }),
    text(90_000, 'b', 3005, { group: 'g', leader: 'e3' })
  )).toEqual(['> a 6003 id=x0 transaction=t1 group=g', '> a 6002 id=x1 transaction=t1 group=g outcome=busy', '  b 3005 group=g leader=e2'])
})

it('skips truncated lines and lines of another format', () => {
  expect(timeline('x1', 'no line', refused.slice(0, 60), '{"a":1}', refused)).toHaveLength(1)
})

it('is empty for an id that no line has', () => expect(timeline('x2', refused)).toEqual([]))
