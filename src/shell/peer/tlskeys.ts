/** The key, certificate and authority of this host for its links, read anew when the files change. */

import { readFileSync, statSync } from 'node:fs'
import { createSecureContext, type SecureContextOptions } from 'node:tls'
import type { Log } from '../log/log.ts'

interface Files {
  readonly key: string
  readonly certificate: string
  readonly authority: string
}

/** How often the files are looked at. */
const CHECK_INTERVAL_MS = 1000

/** Links that are opened use the newest keys; those that are open keep theirs. */
export class TlsKeys {
  private readonly listeners = new Set<(context: SecureContextOptions) => void>()

  private constructor (private readonly files: Files, private signature: string, private currentContext: SecureContextOptions) {}

  /** Throws when a file can't be read, or when the key isn't the certificate's. */
  static read (files: Files): TlsKeys {
    return new TlsKeys(files, signatureOf(files), contextOf(files))
  }

  get context (): SecureContextOptions {
    return this.currentContext
  }

  onChange (listener: (context: SecureContextOptions) => void): void {
    this.listeners.add(listener)
  }

  /** Looks at the files until the signal is aborted. */
  watch (log: Log, signal: AbortSignal): void {
    const timer = setInterval(() => this.reloadIfChanged(log), CHECK_INTERVAL_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  /**
   * Against files that are replaced one after the other: a look between two of
   * them finds a key that isn't the certificate's. The old ones stay in use,
   * and the next look that finds a change tries again.
   */
  private reloadIfChanged (log: Log): void {
    try {
      const marks = signatureOf(this.files)
      if (marks === this.signature) return
      this.signature = marks
      this.currentContext = contextOf(this.files)
      for (const listener of this.listeners) listener(this.currentContext)
      log.write('keysReloaded')
    } catch (err) {
      const { message } = err as Error
      if (this.signature !== message) log.write('keysUnreadable', { err: message })
      // A missing file has no marks; its message stands for them, so that it's logged once.
      if ((err as NodeJS.ErrnoException).syscall !== undefined) this.signature = message
    }
  }
}

function contextOf ({ key, certificate, authority }: Files): SecureContextOptions {
  const context: SecureContextOptions = {
    key: readFileSync(key),
    cert: readFileSync(certificate),
    ca: readFileSync(authority),
    minVersion: 'TLSv1.3'
  }
  createSecureContext(context)
  return context
}

function signatureOf ({ key, certificate, authority }: Files): string {
  return [key, certificate, authority].map(file => {
    const { ino, mtimeMs, size } = statSync(file)
    return `${ino} ${mtimeMs} ${size}`
  }).join()
}
