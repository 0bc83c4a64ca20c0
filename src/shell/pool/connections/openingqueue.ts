/** Whose turn it is to have a connection opened, where openings take places from statements. */

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
  /** Connections of the team that are on loan. */
  readonly own: number
  /** Openings that come of it: its own, and that of the team whose connection is closed for it. */
  readonly openings: number
}

/** A request waits for its team's own connections at most for this part of the time that it has left. */
const MAX_WAIT_SHARE = 1 / 4

type Dial = () => Promise<Result<EndpointLink, DialFault>>

/** `T`: a request, with what its owner needs to serve it. */
export class OpeningQueue<T extends Request> {
  private readonly parked = TeamWaitList.create<T>()

  private constructor () {}

  static create<T extends Request> (): OpeningQueue<T> {
    return new OpeningQueue()
  }

  /** A connection of the team is back: the request that gets it, if one waits. */
  next (team: TeamId | undefined): T | undefined {
    return this.parked.take(team)
  }

  /** Ends the wait of all. */
  takeAll (): readonly T[] {
    return this.parked.takeAll()
  }

  /**
   * Resolves with a place for the opening, or once the request needs none: `taken`, as by a connection of its team that came back first,
   * or `refused`, as there's no place in its time.
   *
   * Guard against teams that close each other's connections in turn: each opening takes a place from statements for about as long as a short
   * one of them, so a queue brings openings, and these make it longer. A request therefore waits for its team's own connections for as
   * long as opening one would cost all who wait, and is opened one only then: that costs at most twice the better of both.
   */
  async waitForTurn (places: Places, request: T, standing: OpeningDemand): Promise<PlaceTicket | 'taken' | 'refused'> {
    const { wish: { team, rank, caller }, deadline } = request
    const seat = this.parked.join(team, rank, request)
    const waitMs = Math.min((deadline - clock.now()) * MAX_WAIT_SHARE, costMs(places, standing))
    if (waitMs > 0) await Promise.race([seat.ended, pause(waitMs)])
    if (seat.isTaken) return 'taken'
    const ticket = places.requestPlace({ rank, caller, what: 'opening', leftMs: deadline - clock.now() })
    seat.ended.then(() => ticket.cancel())
    const isGranted = await ticket.granted
    if (seat.isTaken) {
      ticket.returnPlace('notSent')
      return 'taken'
    }
    this.parked.leave(seat)
    return isGranted ? ticket : 'refused'
  }

  /** Opens a connection that serves anybody, at the class of the first that waits; without a place in time the endpoint counts as full. */
  async openShared (places: Places | undefined, first: Request | undefined, dial: Dial): ReturnType<Dial> {
    if (places === undefined || first === undefined) return await dial()
    const { wish: { rank, caller }, deadline } = first
    const ticket = places.requestPlace({ rank, caller, what: 'opening', leftMs: deadline - clock.now() })
    if (!await ticket.granted) return err('tooManyConnections')
    const dialled = await dial()
    ticket.returnPlace(dialled.isOk() ? 'done' : isEndpointFull(dialled.error) ? 'notSent' : 'broken')
    return dialled
  }
}

/** What an opening takes from others, in milliseconds: its place, and as much of the time of each that waits here. None is worth waiting for without a connection of the team. */
function costMs (places: Places, { own, openings }: OpeningDemand): number {
  return own === 0 ? 0 : openings * places.openingMs * (1 + places.load().waiting)
}

async function pause (ms: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}
