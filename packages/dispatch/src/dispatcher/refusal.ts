/** Whether a job is refused on arrival. */
import type {Millis} from '@goldcrestpier/runtime';
import {estimateWait, sumCapacity} from '../admission/index.js';
import {canEverRun, expectWorth} from '../placement/index.js';
import {RefusalReason, type Job} from '../work/index.js';
import type {Board} from './board.js';
import {findDue} from './job_record.js';

/** A job is refused when the wait leaves less than this of its worth. */
const REFUSE_SHARE = 0.15;

/** A refusal and the wait that it is based on. */
export interface JobRefusal {
  readonly reason: RefusalReason;
  readonly waitMs: Millis;
}

/** Why the job can't be served; undefined when it is taken. */
export function findRefusal(
  board: Board,
  job: Job,
  now: Millis,
): JobRefusal | undefined {
  const own = [...board.workersOf(job.service)];
  if (own.length === 0) return {reason: RefusalReason.NoWorkers, waitMs: 0};
  const isPossible = job.steps.every(step =>
    own.some(worker => canEverRun(step, worker)),
  );
  if (!isPossible) return {reason: RefusalReason.NoFit, waitMs: 0};
  const expectedMs = board.expectJob(job);
  const due = findDue(job, expectedMs);
  const ahead = sumWorkAhead(board, due.dueAt - expectedMs, now);
  const waitMs = estimateWait(ahead, sumCapacity(own, job.service));
  const worthNow = expectWorth(due, expectedMs, now);
  const worthThen = expectWorth(due, expectedMs, now + waitMs);
  // What is long by itself is tried; only the wait is a reason to refuse.
  const isUseless = worthThen < REFUSE_SHARE * worthNow;
  return isUseless ? {reason: RefusalReason.Overloaded, waitMs} : undefined;
}

/** How long the other jobs of its service keep the workers busy. */
export function estimateDrain(
  board: Board,
  {id, service}: Job,
  now: Millis,
): Millis {
  let work = 0;
  for (const {job, tasks} of board.jobs.values()) {
    if (job.service !== service || job.id === id) continue;
    for (const {state, step} of tasks) {
      const {cpuMillis} = step.need;
      if (state.kind === 'waiting') {
        work += board.durations.expect(job.queue, step.estimateMs) * cpuMillis;
      } else if (state.kind === 'running') {
        work += Math.max(0, state.run.endsAt - now) * cpuMillis;
      }
    }
  }
  return estimateWait(work, sumCapacity(board.workersOf(service), service));
}

/** Work of waiting tasks that go before a job to be started by `startBy`. */
function sumWorkAhead(board: Board, startBy: Millis, now: Millis): number {
  let work = 0;
  for (const record of board.jobs.values()) {
    if (record.ending !== undefined || record.startBy > startBy) continue;
    if (record.startBy < now && !record.hasStarted) continue;
    for (const {state, step} of record.tasks) {
      if (state.kind !== 'waiting') continue;
      const ms = board.durations.expect(record.job.queue, step.estimateMs);
      work += ms * step.need.cpuMillis;
    }
  }
  return work;
}
