/** Where a script is wrong, and what to write instead. */

export class ScriptError extends Error {
  private constructor (readonly line: number, readonly column: number, problem: string, remedy: string) {
    super(`${line}:${column}: ${problem}; ${remedy}`)
  }

  static at ({ line, column }: { readonly line: number, readonly column: number }, problem: string, remedy: string): ScriptError {
    return new ScriptError(line, column, problem, remedy)
  }
}
