/** Tasks with a start command that may be executed late. */
export type {UnansweredStart} from './unanswered_start.js';
export {UnansweredStarts} from './unanswered_starts.js';
