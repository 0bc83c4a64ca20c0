/** What a caller of the line protocol gets for a statement that an endpoint ran. */

/** The endpoint's proof, in the state, after the row of the item where one was read. */
export function proof (endpoint: string, state = 'I', row = ''): string {
  return `${row === '' ? '' : `DATAROW row-of-${row} / `}COMPLETE proof.${endpoint} / READY ${state} -`
}
