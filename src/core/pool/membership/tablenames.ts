/** The tables of the store that every host knows. */

/**
 * The operator's configuration; the list of endpoints; the roll of hosts; and what else hosts tell each other through the store: leases, objections
 * and handovers. The roll is a table of its own, since it changes with each host that comes or goes and nobody is in a hurry for it.
 */
export const tableNames = ['config', 'endpoints', 'shared', 'roll'] as const
