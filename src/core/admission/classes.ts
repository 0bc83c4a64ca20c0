/** The classes of requests, the most urgent first; a class's index is its rank. */

export const classes = ['urgent', 'normal', 'browsing'] as const
