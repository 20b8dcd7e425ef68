/** Updates a worker's record after it refused to start a run. */
import type {Millis} from '@goldcrestpier/runtime';
import {StartAnswer, type Run} from '../../workers/index.js';
import type {Registry} from '../registry.js';
import {StrikeReason} from '../worker_state/index.js';

/** Time for which a worker that reported to be full gets no task, in ms. */
const FULL_BACKOFF_MS = 50;
/** Run numbers that are skipped after a worker rejected one as stale. */
const RUN_NUMBERS_SKIPPED = 8;

/** Records why a worker did not start a run. */
export function recordStartRefusal(
  registry: Registry,
  run: Run,
  answer: StartAnswer,
  now: Millis,
): void {
  const worker = registry.workers.get(run.workerId);
  if (worker === undefined) return;
  switch (answer) {
    case StartAnswer.NoRoom:
      worker.fullUntil = now + FULL_BACKOFF_MS;
      return;
    case StartAnswer.StaleRun:
      registry.skipRunNumbers(run, RUN_NUMBERS_SKIPPED);
      return;
    case StartAnswer.Unavailable:
      worker.fullUntil = now + FULL_BACKOFF_MS;
      registry.strikeRecorder.record(run, StrikeReason.StartRefused, now);
      return;
    case StartAnswer.OtherIncarnation:
      worker.hasAcceptedToken = false;
      return;
    // It has waited for other commands, which limit further starts anyway.
    case StartAnswer.NotSent:
    case StartAnswer.Started:
    case StartAnswer.Unanswered:
    case StartAnswer.NotListening:
    case StartAnswer.Late:
    case StartAnswer.Rejected:
    case StartAnswer.Fenced:
      return;
  }
}
