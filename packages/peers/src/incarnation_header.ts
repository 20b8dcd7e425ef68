/** HTTP header with the incarnation of the connecting peer. */
export const INCARNATION_HEADER = 'x-goldcrestpier-incarnation';
