/** Aggregates and prints measurements. */
export {printRatios, printReport} from './print.js';
export {createReport, type Report} from './report.js';
export {computeRatios, summarize, type Summary} from './summary.js';
