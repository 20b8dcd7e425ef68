/** Creates the planner's input for a job. */
import type {Demand} from '../../placement/index.js';
import type {JobRecord, TaskRecord} from '../jobs/index.js';
import {limitUnansweredStarts} from './start_sharing.js';

/** Creates a demand for `count` tasks like this one. */
export function createDemand(
  record: JobRecord,
  {step, name}: TaskRecord,
  count: number,
): Demand {
  const {queue} = record.job;
  const countRunningOn = (workerId: string) =>
    record.countRunningOn(workerId, name.step);
  const maxUnansweredStarts = limitUnansweredStarts(record);
  return {
    queue,
    step,
    due: record,
    count,
    countRunningOn,
    maxUnansweredStarts,
    ignoresReservations: record.isInbound,
  };
}
