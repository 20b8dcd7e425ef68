/** Runs rounds of load on a running cluster. */
export {
  isComplete,
  runRound,
  type RoundResult,
  type RoundOptions,
} from './round.js';
