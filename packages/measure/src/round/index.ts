/** Rounds of load over a running cluster. */
export {isGood, runRound, type Round, type RoundOptions} from './round.js';
