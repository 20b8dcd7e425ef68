/** Ends runs and jobs whose time is over. */
import type {Millis} from '@goldcrestpier/runtime';
import {AbandonReason, RefusalReason} from '../work/index.js';
import {abandoned, type Board} from './board.js';
import {beginTrial} from './health.js';
import type {JobRecord} from './job_record.js';
import type {Placer} from './placer.js';

/** Ends runs whose leases or stops are over. */
export function endOverdueRuns(board: Board, now: Millis): void {
  for (const [id, worker] of board.workers) {
    beginTrial(worker, now);
    for (const run of worker.runs.values()) {
      const isLapsed = worker.isSilent && now >= worker.leasesOverAt;
      if (isLapsed || now >= run.overAt) board.endRun(run, 'lost', now);
    }
    const isGone = worker.info.isDraining && worker.isSilent;
    if (isGone && worker.isForgettable(now)) board.dropWorker(id);
  }
  for (const record of board.jobs.values()) {
    for (const {state} of record.tasks) {
      const isOver = state.kind === 'running' && now >= state.run.overAt;
      if (isOver) board.endRun(state.run, 'lost', now);
    }
  }
}

/** Ends tasks of other zones that an earlier holder ran, if none is found. */
export function endLostTasks(board: Board, placer: Placer, now: Millis): void {
  for (const record of board.jobs.values()) {
    if (!record.isForeign || !record.mayRunUnseen) continue;
    if (!placer.isSettled(record, now)) continue;
    record.mayRunUnseen = false;
    if (record.isRunning) continue;
    board.endJob(record, abandoned(AbandonReason.RunLost), now);
  }
}

/** Ends jobs for which it is too late. */
export function endOverdueJobs(board: Board, now: Millis): void {
  for (const record of board.jobs.values()) {
    if (record.ending !== undefined) continue;
    if (now >= record.job.deadlineAt) {
      giveUp(board, record, AbandonReason.Deadline, now);
    } else if (!record.hasStarted && now >= record.usefulUntil) {
      board.refuse(record, RefusalReason.TooLate, 0, now);
    }
  }
}

/** Gives a job up; it ends once nothing of it runs. */
export function giveUp(
  board: Board,
  record: JobRecord,
  reason: AbandonReason,
  now: Millis,
): void {
  const isRefusal = reason === AbandonReason.Deadline && !record.hasStarted;
  if (isRefusal) board.refuse(record, RefusalReason.TooLate, 0, now);
  else board.endJob(record, abandoned(reason), now);
}
