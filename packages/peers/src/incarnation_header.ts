/** The header in which a peer says which incarnation it is, for the log. */
export const INCARNATION_HEADER = 'x-goldcrestpier-incarnation';
