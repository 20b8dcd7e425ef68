/** Applies a worker's answers to commands that start or stop a run. */
import type {Millis} from '@goldcrestpier/runtime';
import {RunPhase, StartAnswer, type Run} from '../../workers/index.js';
import {StrikeReason} from '../worker_state/index.js';
import {isStartOutstanding, recordUnansweredStart} from './late_starts.js';
import {computeLateRunEnd, computeStopCompletion} from '../options.js';
import type {Registry} from '../registry.js';
import {recordStartRefusal} from './start_refusal.js';

/** Answers after which the worker may still execute the start command. */
const uncertainAnswers: ReadonlySet<StartAnswer> = new Set([
  StartAnswer.Unanswered,
  StartAnswer.NotListening,
]);

/** Applies an answer; `leaseMs` is the lease that the command named. */
export function applyStartAnswer(
  registry: Registry,
  run: Run,
  answer: StartAnswer,
  leaseMs: Millis,
  now: Millis,
): void {
  registry.workers.get(run.workerId)?.startWindow.remove(run);
  registry.startRate.record(1, registry.hasStartBacklog, now);
  if (registry.hasStartBacklog) registry.isPlacementDue = true;
  // A refused connection may also be caused by a network partition.
  if (answer === StartAnswer.Unanswered)
    recordUnansweredStart(registry, run, leaseMs, now);
  if (uncertainAnswers.has(answer)) {
    if (run.phase === RunPhase.Starting) registry.runEnds.stop(run);
    run.isStartRefused = answer === StartAnswer.NotListening;
    boundUnconfirmedRun(registry, run, leaseMs, now);
    registry.strikeRecorder.record(run, StrikeReason.StartUnanswered, now);
  } else if (answer !== StartAnswer.Started) {
    recordStartRefusal(registry, run, answer, now);
    registry.endRun(run, 'refused', now);
  } else {
    confirmStart(run, now);
  }
}

function confirmStart(run: Run, now: Millis): void {
  if (run.phase === RunPhase.Starting) run.phase = RunPhase.Running;
  if (run.confirmedAt !== Infinity) return;
  run.confirmedAt = now;
  // A stop that was sent before is not known to have followed the start.
  run.stopSentAt = -Infinity;
}

/**
 * Applies a worker's confirmation of the stop that was sent at `sentAt`. One
 * that was sent before the start was answered proves nothing: the start may be
 * executed after it, by the next process of the worker.
 */
export function applyStopAccepted(
  {runEnds}: Registry,
  run: Run,
  {stopMs, sentAt}: {stopMs: Millis; sentAt: Millis},
  now: Millis,
): void {
  const {confirmedAt} = run;
  const isEarly = confirmedAt !== Infinity && sentAt < confirmedAt;
  if (isEarly || isStartOutstanding(run)) return;
  run.phase = RunPhase.StopAccepted;
  run.confirmedAt = now;
  runEnds.bound(run, computeStopCompletion(now, stopMs));
}

/** Limits for how long a run counts whose start command may be late. */
function boundUnconfirmedRun(
  {runEnds}: Registry,
  run: Run,
  leaseMs: Millis,
  now: Millis,
): void {
  // A poll has shown meanwhile what became of it.
  if (run.confirmedAt !== Infinity) return;
  run.startUnansweredAt = now;
  runEnds.bound(run, computeLateRunEnd(now, leaseMs));
}
