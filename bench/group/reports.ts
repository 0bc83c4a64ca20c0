/** What the hosts of the model tell each other of their load. */

import type { Endpoint } from '../../src/core/directory/endpoint.ts'
import type { ModelHost } from './host.ts'

/** Each host hears what all others have at this instant, until the next report. */
export function spreadReports (hosts: ReadonlyArray<ModelHost | undefined>, listed: readonly Endpoint[]): void {
  const loads = hosts.map(host => listed.map(({ id }, at) => ({ atWork: host?.reads.health.atWork(id) ?? 0, waiting: host?.queued(at) ?? 0 })))
  hosts.forEach((host, own) => host?.reads.setOthersLoad({
    at: id => {
      const at = listed.findIndex(endpoint => endpoint.id === id)
      const others = loads.filter((_, i) => i !== own).map(load => load[at]!)
      return { owners: others.length, atWork: sum(others.map(({ atWork }) => atWork)), waiting: sum(others.map(({ waiting }) => waiting)), answerMs: undefined, failing: 0 }
    }
  }))
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
