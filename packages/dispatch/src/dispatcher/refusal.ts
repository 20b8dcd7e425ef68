/** Whether a job is refused on arrival, and when refused callers may return. */
import type {Millis} from '@goldcrestpier/runtime';
import {estimateWait, sumCapacity} from '../admission/index.js';
import {canEverRun} from '../placement/index.js';
import {RefusalReason, type Job} from '../work/index.js';
import type {Board} from './board.js';

/** Why no worker could ever run the job; undefined when one can. */
export function findRefusal(board: Board, job: Job): RefusalReason | undefined {
  if (!board.isListConfirmed) return undefined;
  const own = [...board.workersOf(job.service)];
  if (own.length === 0) return RefusalReason.NoWorkers;
  const isPossible = job.steps.every(step =>
    own.some(worker => canEverRun(step, worker)),
  );
  return isPossible ? undefined : RefusalReason.NoFit;
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
