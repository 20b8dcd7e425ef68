/** Retries of reads and cancellations, which are idempotent. */
import {RunStatus, type Failure, type JobAnswer} from '@goldcrestpier/protocol';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {OutcomeKind, type RequestOutcome} from '../request/index.js';
import {RetryLimits} from '../retry/index.js';
import {createUnreachableFailure} from '../sessions/index.js';
import type {ClientContext} from './context.js';

/** Time limit of a read or cancellation, on top of its own wait. */
const RETRY_TIMEOUT_MS = 15_000;

/** Repeats `send` until an answer, a final failure or the retry limits. */
export async function retryUntilAnswered(
  context: ClientContext,
  waitMs: number,
  send: () => Promise<RequestOutcome<JobAnswer>>,
): Promise<Result<JobAnswer, Failure>> {
  const limits = new RetryLimits(
    readClock() + waitMs + RETRY_TIMEOUT_MS,
    context.options.maxTries,
    context.budget,
  );
  for (;;) {
    const outcome = await send();
    if (outcome.kind === OutcomeKind.Answer) return Ok(outcome.body);
    const failure = toFailure(outcome, context.options.origin);
    if (failure.final) return Err(failure);
    const delayMs = limits.takeRetryDelayMs(
      readClock(),
      failure.retryAfterMs,
      Math.random(),
    );
    if (delayMs === undefined) return Err(failure);
    await sleep(delayMs);
  }
}

/** Without a response, the job may have run. */
function toFailure(
  outcome: Exclude<
    RequestOutcome<JobAnswer>,
    {readonly kind: OutcomeKind.Answer}
  >,
  origin: string,
): Failure {
  return outcome.kind === OutcomeKind.Failure
    ? outcome.failure
    : createUnreachableFailure(origin, RunStatus.MayHaveRun);
}
