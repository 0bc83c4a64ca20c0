/** Orders the openings of connections where they take places from statements. */

import { err, type Result } from 'neverthrow'
import type { Instant } from '../../../core/id/instant.ts'
import type { TeamId } from '../../../core/id/team.ts'
import { clock } from '../clock.ts'
import type { DialFault } from './dialfault.ts'
import { isEndpointFull } from './isendpointfull.ts'
import type { EndpointLink } from './link.ts'
import { TeamWaitList } from './teamwaitlist.ts'
import type { Places } from './places.ts'
import type { PlaceTicket } from './placeticket.ts'

interface Request {
  readonly wish: { readonly rank: number, readonly caller: string, readonly team: TeamId | undefined }
  readonly deadline: Instant
}

interface OpeningDemand {
  /** Borrowed connections of the team. */
  readonly borrowed: number
  /** Openings that it causes: its own, and that of the team whose connection is closed for it. */
  readonly openings: number
}

/** Largest part of its remaining time for which a request waits for its team's connections. */
const MAX_WAIT_SHARE = 1 / 4

type Dial = () => Promise<Result<EndpointLink, DialFault>>

/** `T`: a request with the data for serving it. */
export class OpeningQueue<T extends Request> {
  private readonly waitList = TeamWaitList.create<T>()

  private constructor () {}

  static create<T extends Request> (): OpeningQueue<T> {
    return new OpeningQueue()
  }

  /** Removes and returns the request that gets a returned connection of the team; undefined if none waits. */
  next (team: TeamId | undefined): T | undefined {
    return this.waitList.take(team)
  }

  /** Removes and returns all waiting requests. */
  takeAll (): readonly T[] {
    return this.waitList.takeAll()
  }

  /**
   * Resolves with a place for the opening; with `taken` if the request was served by a returned connection of its team; or with
   * `refused` if there was no place in time.
   *
   * Teams that close each other's connections in turn would lengthen the queue, since each opening takes a place from statements.
   * So a request first waits for its team's connections for as long as an opening would delay all who wait. This costs at
   * most twice as much as the better of the two choices.
   */
  async waitForTurn (places: Places, request: T, demand: OpeningDemand): Promise<PlaceTicket | 'taken' | 'refused'> {
    const { wish: { team, rank, caller }, deadline } = request
    const entry = this.waitList.add(team, rank, request)
    const waitMs = Math.min((deadline - clock.now()) * MAX_WAIT_SHARE, openingDelayMs(places, demand))
    if (waitMs > 0) await Promise.race([entry.ended, pause(waitMs)])
    if (entry.isTaken) return 'taken'
    const ticket = places.requestPlace({ rank, caller, what: 'opening', remainingMs: deadline - clock.now() })
    entry.ended.then(() => ticket.cancel())
    const isGranted = await ticket.granted
    if (entry.isTaken) {
      ticket.returnPlace('notSent')
      return 'taken'
    }
    this.waitList.remove(entry)
    return isGranted ? ticket : 'refused'
  }

  /** Opens a connection that serves anyone, with the rank of the first request in the queue; without a place in time the endpoint counts as full. */
  async openShared (places: Places | undefined, first: Request | undefined, dial: Dial): ReturnType<Dial> {
    if (places === undefined || first === undefined) return await dial()
    const { wish: { rank, caller }, deadline } = first
    const ticket = places.requestPlace({ rank, caller, what: 'opening', remainingMs: deadline - clock.now() })
    if (!await ticket.granted) return err('tooManyConnections')
    const dialled = await dial()
    ticket.returnPlace(dialled.isOk() ? 'done' : isEndpointFull(dialled.error) ? 'notSent' : 'broken')
    return dialled
  }
}

/** Total delay that an opening causes, in milliseconds: its own time in a place, and as much for each that waits. 0 if the team has no connections to wait for. */
function openingDelayMs (places: Places, { borrowed, openings }: OpeningDemand): number {
  return borrowed === 0 ? 0 : openings * places.openingMs * (1 + places.load().waiting)
}

async function pause (ms: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}
