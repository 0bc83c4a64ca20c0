/** Settings that are each well written but can't hold together. */

interface Settings {
  readonly listen: { readonly callers: string, readonly peers: string, readonly metrics: string }
  readonly peers: { readonly beat: number, readonly silent: number }
  readonly platform: { readonly timeout: number }
  readonly requests: { readonly deadline: number }
}

/** A link is judged by at least so many heartbeats, so that one late one doesn't break it. */
const MIN_HEARTBEATS = 3

/** One line that names the key, what is wrong and the remedy; undefined when all is well. */
export function findConflict ({ listen, peers, platform, requests }: Settings): string | undefined {
  const addresses = [listen.callers, listen.peers, listen.metrics]
  const twice = addresses.find((address, i) => addresses.indexOf(address) < i)
  if (twice !== undefined) return `listen: "${twice}" comes twice; give callers, peers and metrics an address each`
  if (peers.silent < peers.beat * MIN_HEARTBEATS) return `peers.silent: is too short for the heartbeat; write at least ${peers.beat * MIN_HEARTBEATS}ms or shorten peers.beat`
  if (platform.timeout <= 0) return 'platform.timeout: is zero; write how long the store may take, such as "1s"'
  if (requests.deadline <= 0) return 'requests.deadline: is zero; write how long a request may take, such as "5s"'
  return undefined
}
