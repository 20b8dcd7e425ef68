/** Reads and cancellations: harmless to repeat until one is answered. */
import {RunStatus, type Failure, type JobAnswer} from '@goldcrestpier/protocol';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {ReplyKind, type Reply} from '../exchange/index.js';
import {Patience} from '../retry/index.js';
import {createUnreachableFailure} from '../sessions/index.js';
import type {ClientContext} from './context.js';

/** How long a read or cancellation goes on, beside its own wait. */
const ASKING_MS = 15_000;

/** Repeats `ask` until it is answered, refused for good or out of patience. */
export async function askUntilAnswered(
  context: ClientContext,
  waitMs: number,
  ask: () => Promise<Reply<JobAnswer>>,
): Promise<Result<JobAnswer, Failure>> {
  const patience = new Patience(
    readClock() + waitMs + ASKING_MS,
    context.options.maxTries,
    context.budget,
  );
  for (;;) {
    const reply = await ask();
    if (reply.kind === ReplyKind.Answer) return Ok(reply.body);
    const failure = readFailure(reply, context.options.origin);
    if (failure.final) return Err(failure);
    const pauseMs = patience.takeTry(
      readClock(),
      failure.retryAfterMs,
      Math.random(),
    );
    if (pauseMs === undefined) return Err(failure);
    await sleep(pauseMs);
  }
}

/** Nothing was heard of the job, so it may have run. */
function readFailure(
  reply: Exclude<Reply<JobAnswer>, {readonly kind: ReplyKind.Answer}>,
  origin: string,
): Failure {
  return reply.kind === ReplyKind.Failure
    ? reply.failure
    : createUnreachableFailure(origin, RunStatus.MayHaveRun);
}
