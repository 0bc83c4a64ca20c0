/** Loads this host's private key, certificate and certificate authority, and reloads them when the files change. */

import { readFileSync, statSync } from 'node:fs'
import { createSecureContext, type SecureContextOptions } from 'node:tls'
import type { Log } from '../log/log.ts'

interface Files {
  readonly key: string
  readonly certificate: string
  readonly authority: string
}

const CHECK_INTERVAL_MS = 1000

/** New links use the latest keys; open links keep theirs. */
export class TlsKeys {
  private readonly listeners = new Set<(context: SecureContextOptions) => void>()

  private constructor (private readonly files: Files, private signature: string, private currentContext: SecureContextOptions) {}

  /** Throws when a file can't be read or the key doesn't match the certificate. */
  static read (files: Files): TlsKeys {
    return new TlsKeys(files, signatureOf(files), contextOf(files))
  }

  get context (): SecureContextOptions {
    return this.currentContext
  }

  /** The listener is called with the new keys after each reload. */
  onChange (listener: (context: SecureContextOptions) => void): void {
    this.listeners.add(listener)
  }

  /** Checks the files for changes until the signal is aborted. */
  watch (log: Log, signal: AbortSignal): void {
    const timer = setInterval(() => this.reloadIfChanged(log), CHECK_INTERVAL_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  /**
   * Keeps the current keys if the files are unreadable or inconsistent, such as
   * while they are being replaced one by one, and retries at the next change.
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
      // A missing file has no signature; the error message takes its place, so that the error is logged once.
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
