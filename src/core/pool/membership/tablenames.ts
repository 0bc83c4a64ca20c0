/** The tables of the store that every host replicates. */

/**
 * The operator's configuration, the list of endpoints, other rows that hosts share (leases, objections, handovers), and the host registry, which
 * has a table of its own since it changes with every host that comes or goes and isn't urgent.
 */
export const tableNames = ['config', 'endpoints', 'shared', 'roll'] as const
