/** The calls between instances, as a tRPC router and as a typed client. */
import {
  call,
  createRouter,
  take,
  type CallLink,
  type CallMethods,
  type PeerFailure,
} from '@goldcrestpier/peers';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import type {Configuration} from '../ports/index.js';
import {
  configurationSchema,
  heartbeatSchema,
  jobAnswerSchema,
  jobCancellationSchema,
  jobSubmissionSchema,
  lendingSchema,
  lentAnswerSchema,
  lentListSchema,
  lentQuestionSchema,
  recallSchema,
  type JobAnswer,
  type JobCancellation,
  type JobSubmission,
  type Lending,
  type LentAnswer,
  type LentList,
  type LentQuestion,
  type Recall,
  type ZoneHeartbeat,
} from './messages.js';

/** What an instance does with what its peers send. */
export interface ZoneHandlers {
  heartbeat(message: ZoneHeartbeat): Promise<ZoneHeartbeat>;
  submit(message: JobSubmission): Promise<JobAnswer>;
  cancel(message: JobCancellation): Promise<boolean>;
  readConfiguration(): Promise<Configuration | null>;
  lend(message: Lending): Promise<LentAnswer>;
  recall(message: Recall): Promise<boolean>;
  listLent(question: LentQuestion): Promise<LentList>;
}

/** How tRPC takes each call. */
export const zoneMethods: CallMethods = {
  heartbeat: 'mutation',
  submit: 'mutation',
  cancel: 'mutation',
  readConfiguration: 'query',
  lend: 'mutation',
  recall: 'mutation',
  listLent: 'query',
};

/** Builds the router; every input is checked before its handler sees it. */
export function createZoneRouter(handlers: ZoneHandlers) {
  return createRouter({
    heartbeat: call
      .input(heartbeatSchema)
      .mutation(take(input => handlers.heartbeat(input))),
    submit: call
      .input(jobSubmissionSchema)
      .mutation(take(input => handlers.submit(input))),
    cancel: call
      .input(jobCancellationSchema)
      .mutation(take(input => handlers.cancel(input))),
    readConfiguration: call.query(take(() => handlers.readConfiguration())),
    lend: call
      .input(lendingSchema)
      .mutation(take(input => handlers.lend(input))),
    recall: call
      .input(recallSchema)
      .mutation(take(input => handlers.recall(input))),
    listLent: call
      .input(lentQuestionSchema)
      .query(take(input => handlers.listLent(input))),
  });
}

/** The answer did not have the shape of the call. */
export interface MalformedAnswer {
  readonly kind: 'malformed';
}

/** Why a call brought nothing. */
export type ZoneCallFailure = PeerFailure | MalformedAnswer;

/** The calls of a peer over its link. */
export class ZoneCalls {
  constructor(private readonly link: CallLink) {}

  /** Tells the peer of this instance; answered with the peer's own state. */
  heartbeat(
    message: ZoneHeartbeat,
    timeoutMs: number,
  ): Promise<Result<ZoneHeartbeat, ZoneCallFailure>> {
    return this.ask(heartbeatSchema, 'heartbeat', message, timeoutMs);
  }

  /** Hands a job to the peer, the holder; answered when the job has ended. */
  submit(
    message: JobSubmission,
    timeoutMs: number,
  ): Promise<Result<JobAnswer, ZoneCallFailure>> {
    return this.ask(jobAnswerSchema, 'submit', message, timeoutMs);
  }

  /** Gives a job up; false from an instance that holds no workers. */
  cancel(
    message: JobCancellation,
    timeoutMs: number,
  ): Promise<Result<boolean, ZoneCallFailure>> {
    return this.ask(z.boolean(), 'cancel', message, timeoutMs);
  }

  /** Reads the configuration that the peer has; null when it has none. */
  readConfiguration(
    timeoutMs: number,
  ): Promise<Result<Configuration | null, ZoneCallFailure>> {
    const schema = configurationSchema.nullable();
    return this.ask(schema, 'readConfiguration', undefined, timeoutMs);
  }

  /** Lends a task; answered when its run has ended. */
  lend(
    message: Lending,
    timeoutMs: number,
  ): Promise<Result<LentAnswer, ZoneCallFailure>> {
    return this.ask(lentAnswerSchema, 'lend', message, timeoutMs);
  }

  /** Takes a lent task back; false from an instance that holds no workers. */
  recall(
    message: Recall,
    timeoutMs: number,
  ): Promise<Result<boolean, ZoneCallFailure>> {
    return this.ask(z.boolean(), 'recall', message, timeoutMs);
  }

  /** Asks which tasks the peer runs for a zone. */
  listLent(
    question: LentQuestion,
    timeoutMs: number,
  ): Promise<Result<LentList, ZoneCallFailure>> {
    return this.ask(lentListSchema, 'listLent', question, timeoutMs);
  }

  private async ask<Answer>(
    schema: z.ZodType<Answer>,
    name: string,
    input: unknown,
    timeoutMs: number,
  ): Promise<Result<Answer, ZoneCallFailure>> {
    const result = await this.link.call(name, input, timeoutMs);
    if (result.isErr()) return result;
    const answer = schema.safeParse(result.value);
    return answer.success ? Ok(answer.data) : Err({kind: 'malformed'});
  }
}
