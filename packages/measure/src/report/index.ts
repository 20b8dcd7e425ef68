/** What was measured, summed up and printed. */
export {printRatio, printReport} from './print.js';
export {createReport, type Report} from './report.js';
export {compare, summarize, type Summary} from './summary.js';
