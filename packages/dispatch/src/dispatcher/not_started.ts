/** What a worker's refusal to start a run tells of the worker. */
import type {Millis} from '@goldcrestpier/runtime';
import {StartAnswer, type Run} from '../workers/index.js';
import type {Board} from './board.js';
import {StrikeReason} from './health.js';

/** How long a worker that said it is full is not asked again, in ms. */
const FULL_MS = 50;
/** Run numbers left out after a worker called one old. */
const RUN_STEP = 8;

/** Notes why a worker did not start a run. */
export function noteNotStarted(
  board: Board,
  run: Run,
  answer: StartAnswer,
  now: Millis,
): void {
  const worker = board.workers.get(run.workerId);
  if (worker === undefined) return;
  switch (answer) {
    case StartAnswer.NoRoom:
      worker.fullUntil = now + FULL_MS;
      return;
    case StartAnswer.OldRun:
      board.skipRuns(run, RUN_STEP);
      return;
    case StartAnswer.Unavailable:
      worker.fullUntil = now + FULL_MS;
      board.strike(run, StrikeReason.OrderRefused, now);
      return;
    case StartAnswer.OtherLife:
      worker.isHeld = false;
      return;
    case StartAnswer.Started:
    case StartAnswer.Unanswered:
    case StartAnswer.NotListening:
    case StartAnswer.Late:
    case StartAnswer.Rejected:
    case StartAnswer.Fenced:
      return;
  }
}
