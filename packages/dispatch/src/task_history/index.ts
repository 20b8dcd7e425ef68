/** What instances know of tasks beyond their jobs. */
export {TaskHistory, type TaskHistoryReport} from './task_history.js';
