/**
 * The load of hosts at the endpoints of their groups, who uses them and who is refused, for operators. Snapshots of several hosts can be merged.
 *
 * Its size is bounded: a host includes only groups that it owns or that were used through it lately, and only the largest teams.
 */

import * as z from 'zod'

const counts = { done: z.number(), refused: z.number() }
const endpointShape = z.object({
  endpoint: z.string(),
  isPrimary: z.boolean(),
  isLeaving: z.boolean(),
  /** Statements that it works on at a time, if it reports them. */
  places: z.number().optional(),
  connections: z.number(),
  /** Statements that are at the endpoint now. */
  atWork: z.number(),
  /** Statements that wait on hosts, by class. */
  waiting: z.array(z.number()),
  /** Number of hosts that don't reach it. */
  unreached: z.number()
})
const groupShape = z.object({
  group: z.string(),
  owners: z.number(),
  /** Recent statements by class. */
  classes: z.array(z.object(counts)),
  /** The largest teams by recent statements; `rest` has those of all others. */
  teams: z.array(z.object({ team: z.string(), ...counts })),
  rest: z.object(counts),
  endpoints: z.array(endpointShape)
})
const shape = z.object({ hosts: z.array(z.string()), groups: z.array(groupShape) })

type Fields = z.output<typeof shape>
type Group = Fields['groups'][number]
type Endpoint = Group['endpoints'][number]
type Counts = Group['rest']

/** Number of teams listed for a group. */
const MAX_TEAMS = 16

/** Immutable. */
export class LoadSnapshot {
  static readonly maxTeams = MAX_TEAMS

  private constructor (readonly hosts: Fields['hosts'], readonly groups: readonly Group[]) {}

  static readonly empty = new LoadSnapshot([], [])

  /** The load seen by one host. */
  static of (host: string, groups: readonly Group[]): LoadSnapshot {
    return new LoadSnapshot([host], groups)
  }

  /** Undefined if the value isn't a snapshot. */
  static parse (value: unknown): LoadSnapshot | undefined {
    const parsed = shape.safeParse(value)
    return parsed.success ? new LoadSnapshot(parsed.data.hosts, parsed.data.groups) : undefined
  }

  /** Merges both; a host that is in both counts once. */
  with (other: LoadSnapshot): LoadSnapshot {
    if (other.hosts.some(host => this.hosts.includes(host))) return this
    const groups = new Map(this.groups.map(group => [group.group, group]))
    for (const group of other.groups) groups.set(group.group, mergeGroups(group, groups.get(group.group)))
    return new LoadSnapshot([...this.hosts, ...other.hosts].sort(), [...groups.values()].sort((a, b) => a.group < b.group ? -1 : 1))
  }

  toJSON (): Fields {
    return { hosts: this.hosts, groups: [...this.groups] }
  }
}

function mergeGroups (a: Group, b: Group | undefined): Group {
  if (b === undefined) return a
  const ranked = mergeByKey(a.teams, b.teams, ({ team }) => team, (one, other) => ({ team: one.team, ...sum(one, other) }))
    .sort((one, other) => statementCount(other) - statementCount(one))
  return {
    group: a.group,
    owners: a.owners + b.owners,
    classes: longer(a.classes, b.classes).map((_, rank) => sum(a.classes[rank], b.classes[rank])),
    teams: ranked.slice(0, MAX_TEAMS),
    rest: ranked.slice(MAX_TEAMS).reduce(sum, sum(a.rest, b.rest)),
    endpoints: mergeByKey(a.endpoints, b.endpoints, ({ endpoint }) => endpoint, mergeEndpoints).sort((one, other) => one.endpoint < other.endpoint ? -1 : 1)
  }
}

/** Hosts may disagree for a moment about who is primary or leaving; one that says so is enough. */
function mergeEndpoints (a: Endpoint, b: Endpoint): Endpoint {
  return {
    endpoint: a.endpoint,
    isPrimary: a.isPrimary || b.isPrimary,
    isLeaving: a.isLeaving || b.isLeaving,
    places: a.places ?? b.places,
    connections: a.connections + b.connections,
    atWork: a.atWork + b.atWork,
    waiting: longer(a.waiting, b.waiting).map((_, rank) => (a.waiting[rank] ?? 0) + (b.waiting[rank] ?? 0)),
    unreached: a.unreached + b.unreached
  }
}

function mergeByKey<T> (a: readonly T[], b: readonly T[], keyOf: (one: T) => string, join: (one: T, other: T) => T): T[] {
  const all = new Map(a.map(one => [keyOf(one), one]))
  for (const one of b) {
    const known = all.get(keyOf(one))
    all.set(keyOf(one), known === undefined ? one : join(known, one))
  }
  return [...all.values()]
}

const NO_COUNTS: Counts = { done: 0, refused: 0 }

function sum (a: Counts = NO_COUNTS, b: Counts = NO_COUNTS): Counts {
  return { done: a.done + b.done, refused: a.refused + b.refused }
}

function statementCount ({ done, refused }: Counts): number {
  return done + refused
}

function longer<T> (a: readonly T[], b: readonly T[]): readonly T[] {
  return a.length < b.length ? b : a
}
