/**
 * What hosts have at the endpoints of their groups, who asks and who is refused, as operators see it. The pictures of several hosts make one.
 *
 * Its size is bounded: a host tells only of groups that it owns or that were asked of it lately, and of the largest teams alone.
 */

import * as z from 'zod'

const counts = { done: z.number(), refused: z.number() }
const endpointShape = z.object({
  endpoint: z.string(),
  isPrimary: z.boolean(),
  isLeaving: z.boolean(),
  /** Statements that it works on at a time, where it tells. */
  places: z.number().optional(),
  connections: z.number(),
  /** Statements that are at the endpoint now. */
  atWork: z.number(),
  /** Those that wait with hosts, by class. */
  waiting: z.array(z.number()),
  /** Hosts that don't reach it. */
  unreached: z.number()
})
const groupShape = z.object({
  group: z.string(),
  owners: z.number(),
  /** Statements by class, lately. */
  classes: z.array(z.object(counts)),
  /** The largest by what they asked lately; what others asked is in `rest`. */
  teams: z.array(z.object({ team: z.string(), ...counts })),
  rest: z.object(counts),
  endpoints: z.array(endpointShape)
})
const shape = z.object({ hosts: z.array(z.string()), groups: z.array(groupShape) })

type Fields = z.output<typeof shape>
type Group = Fields['groups'][number]
type Endpoint = Group['endpoints'][number]
type Counts = Group['rest']

/** Teams that are told of a group. */
const MAX_TEAMS = 16

/** Immutable. */
export class LoadSnapshot {
  static readonly maxTeams = MAX_TEAMS

  private constructor (readonly hosts: Fields['hosts'], readonly groups: readonly Group[]) {}

  static readonly empty = new LoadSnapshot([], [])

  /** What one host sees. */
  static of (host: string, groups: readonly Group[]): LoadSnapshot {
    return new LoadSnapshot([host], groups)
  }

  /** Undefined when the value isn't a picture. */
  static parse (value: unknown): LoadSnapshot | undefined {
    const parsed = shape.safeParse(value)
    return parsed.success ? new LoadSnapshot(parsed.data.hosts, parsed.data.groups) : undefined
  }

  /** The picture of both; a host that is in both counts once. */
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

/** Hosts may differ for a moment about who leads or leaves: one that says so is enough to be looked at. */
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
