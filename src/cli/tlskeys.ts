/** Reads the TLS keys for peer links that the settings name. Ends the command if they can't be used. */

import { TlsKeys } from '../shell/peer/tlskeys.ts'
import { exitCodes } from './exitcodes.ts'
import { stop } from './stop.ts'

interface Settings {
  readonly peers: { readonly tls?: Parameters<typeof TlsKeys.read>[0] | undefined }
}

export function readTlsKeys ({ peers: { tls } }: Settings): TlsKeys | undefined {
  try {
    return tls && TlsKeys.read(tls)
  } catch (err) {
    return stop(`peers.tls: ${(err as Error).message}; name PEM files that this user can read, the key being the certificate's`, exitCodes.usage)
  }
}
