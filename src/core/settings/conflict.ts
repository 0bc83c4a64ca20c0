/** Finds settings that are valid on their own but contradict each other. */

interface Settings {
  readonly listen: { readonly callers: string, readonly peers: string, readonly metrics: string }
  readonly peers: { readonly beat: number, readonly silent: number }
  readonly platform: { readonly timeout: number }
  readonly requests: { readonly deadline: number }
}

/** Minimum number of heartbeats before a link counts as broken, so that one late heartbeat doesn't break it. */
const MIN_HEARTBEATS = 3

/** Returns one line that names the key, the problem and the remedy; undefined if there is no conflict. */
export function findConflict ({ listen, peers, platform, requests }: Settings): string | undefined {
  const addresses = [listen.callers, listen.peers, listen.metrics]
  const duplicate = addresses.find((address, i) => addresses.indexOf(address) < i)
  if (duplicate !== undefined) return `listen: "${duplicate}" comes twice; give callers, peers and metrics an address each`
  if (peers.silent < peers.beat * MIN_HEARTBEATS) return `peers.silent: is too short for the heartbeat; write at least ${peers.beat * MIN_HEARTBEATS}ms or shorten peers.beat`
  if (platform.timeout <= 0) return 'platform.timeout: is zero; write how long the store may take, such as "1s"'
  if (requests.deadline <= 0) return 'requests.deadline: is zero; write how long a request may take, such as "5s"'
  return undefined
}
