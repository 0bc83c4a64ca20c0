/** Runs the verbs that a failover monitor requests at the endpoints of its group. */

import type { FailoverAction } from '../../core/failover/action.ts'
import type { FailoverEvent } from '../../core/failover/event.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { Log } from '../log/log.ts'
import { EndpointControl } from './control.ts'

type Verb = Exclude<FailoverAction, { kind: 'record' }>

interface Options {
  readonly addresses: ReadonlyMap<EndpointId, { readonly control: Parameters<typeof EndpointControl.create>[1] }>
  readonly proposer: string
  readonly probeTimeoutMs: number
  readonly verbTimeoutMs: number
  readonly now: () => Instant
  readonly log: Log
}

/** Opens a connection for each verb and closes it afterwards. */
export class VerbRunner {
  private constructor (private readonly options: Options) {}

  static create (options: Options): VerbRunner {
    return new VerbRunner(options)
  }

  /** Resolves with the event that tells the monitor the result; never rejects. */
  async run (verb: Verb): Promise<FailoverEvent> {
    const { addresses, proposer, now } = this.options
    const control = EndpointControl.create(verb.endpoint, addresses.get(verb.endpoint)!.control, proposer, now)
    try {
      return await this.ask(control, verb)
    } catch (err) {
      return this.failureEvent(verb, err as Error)
    } finally {
      control.close()
    }
  }

  private async ask (control: EndpointControl, verb: Verb): Promise<FailoverEvent> {
    const { probeTimeoutMs, verbTimeoutMs } = this.options
    switch (verb.kind) {
      case 'probe': return { kind: 'sampled', sample: await control.status(probeTimeoutMs) }
      case 'seal': return { kind: 'sealed', term: verb.term, sample: await control.seal(verb.term, verbTimeoutMs) }
      case 'promote': return { kind: 'promoted', term: verb.term, sample: await control.promote(verb.term, verbTimeoutMs) }
      case 'follow': return { kind: 'sampled', sample: await control.follow(verb.primary, verb.term, verbTimeoutMs) }
    }
  }

  private failureEvent (verb: Verb, err: Error): FailoverEvent {
    const { endpoint } = verb
    if (verb.kind === 'probe') return { kind: 'missed', endpoint }
    const { kind, term } = verb
    this.options.log.write('verbFailed', { verb: kind, endpoint, term, err: err.message })
    return { kind: EndpointControl.isRefusal(err) ? 'refused' : 'failed', endpoint, term }
  }
}
