/** Tells a breach in plain sentences, one a line. */

import type { Breach } from './breach.ts'
import type { Call } from './call.ts'

interface Sentence {
  readonly at: number
  readonly text: string
}

/** The sentences of the breach's part in order of time, and the verdict. */
export function explanationOf ({ kind, part, verdict }: Breach): readonly string[] {
  const sentences: readonly Sentence[] = [
    ...part.calls.map(call => ({ at: call.from, text: tellCall(call) })),
    ...part.promotions.map(one => ({ at: one.at, text: `a primary of ${one.group} began term ${one.term} after position ${one.position}` })),
    ...(part.grants ?? []).flatMap(({ key, team, from, until }) => [
      { at: from, text: `team ${team} held the key ${key}` },
      ...until === undefined ? [] : [{ at: until.at, text: `the key ${key} was taken from team ${team}, to be served no more after ${until.lateMs} ms` }]
    ]),
    ...(part.allowances ?? []).map(one => ({ at: one.from, text: `team ${one.team} was allowed ${one.most} operations in any ${one.windowMs} ms` })),
    ...part.versions.map(one => ({ at: one.at, text: `${one.host} used version ${one.version} of the configuration` }))
  ]
  return [
    `${kind}:`,
    ...[...sentences].sort((a, b) => a.at - b.at).map(one => `  at ${timeOf(one.at)} ${one.text}.`),
    `  So ${verdict}.`
  ]
}

function tellCall (call: Call): string {
  const holder = call.holder === undefined ? '' : ` with the key ${call.holder.key}`
  const who = `session ${call.session} on ${call.host}${holder}`
  const within = call.transaction === undefined ? '' : ` in transaction ${call.transaction}`
  return `${who}${within} ${actOf(call)}, and at ${timeOf(call.to)} ${resultOf(call)}`
}

function actOf (call: Call): string {
  switch (call.kind) {
    case 'commit': return 'committed'
    case 'write': return `appended ${call.value} to ${call.group}/${call.key}${call.once === undefined ? '' : ` under key ${call.once}`}`
    case 'read': return `read ${call.keys.join(', ')} of ${call.group} (${freshnessOf(call)})`
  }
}

function freshnessOf ({ freshness, isFinal }: Extract<Call, { kind: 'read' }>): string {
  if (isFinal === true) return 'after the run'
  return freshness.kind === 'age' ? `age up to ${freshness.ms} ms` : freshness.kind
}

function resultOf (call: Call): string {
  if (call.outcome !== 'done') return `was told ${call.outcome === 'notRun' ? '"not run"' : call.outcome}`
  if (call.kind === 'read') return `got ${call.rows.map(row => `${row.key}: ${listOf(row.values)}`).join('; ') || 'no rows'}`
  return `was told done${call.term === undefined ? '' : ` (${call.term}:${call.position})`}`
}

const SHOWN = 6

function listOf (values: readonly string[]): string {
  if (values.length === 0) return 'nothing'
  const end = values.slice(-SHOWN).join(' ')
  return values.length > SHOWN ? `${values.length} values ending in ${end}` : end
}

function timeOf (ms: number): string {
  return `${(ms / 1000).toFixed(3)}s`
}
