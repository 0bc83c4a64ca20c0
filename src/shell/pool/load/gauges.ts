/** Gauges of the load of this host's groups, computed when the metrics are collected. */

import { Gauge, type Registry } from 'prom-client'
import { classes } from '../../../core/admission/classes.ts'
import type { LoadSnapshot } from '../../../core/pool/load/loadsnapshot.ts'

/** Teams reported per group; limits the number of label values, since a configuration may have thousands of teams. */
const MAX_TEAMS = 3

export function loadGauges (registry: Registry, snapshot: () => LoadSnapshot): void {
  const waiting: Gauge<'endpoint' | 'class'> = new Gauge({
    name: 'agatepond_waiting',
    help: 'Statements that wait with this host for an endpoint, by class',
    labelNames: ['endpoint', 'class'] as const,
    registers: [registry],
    collect: () => {
      waiting.reset()
      for (const { endpoints } of snapshot().groups) {
        for (const one of endpoints) one.waiting.forEach((count, rank) => waiting.set({ endpoint: one.endpoint, class: classes[rank] ?? classes[0] }, count))
      }
    }
  })
  const teamStatements: Gauge<'group' | 'team' | 'ending'> = new Gauge({
    name: 'agatepond_team_statements',
    help: 'Statements of the last five to ten seconds of the teams that asked most of a group, done and refused',
    labelNames: ['group', 'team', 'ending'] as const,
    registers: [registry],
    collect: () => {
      teamStatements.reset()
      for (const { group, teams } of snapshot().groups) {
        for (const { team, done, refused } of teams.slice(0, MAX_TEAMS)) {
          teamStatements.set({ group, team, ending: 'done' }, done)
          teamStatements.set({ group, team, ending: 'refused' }, refused)
        }
      }
    }
  })
}
