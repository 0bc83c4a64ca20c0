/** Command line of a stand-in: `--name value` pairs. */

/** The value of `--name`; the fallback when it's absent, an exit with a message when there is none. */
export function arg (name: string, fallback?: string): string {
  const at = process.argv.indexOf(`--${name}`)
  const value = at < 0 ? fallback : process.argv[at + 1]
  if (value !== undefined) return value
  process.stderr.write(`--${name} is missing\n`)
  process.exit(2)
}
