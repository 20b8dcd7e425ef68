/** The RPC calls between instances, as a tRPC router and a typed client. */
import {
  procedure,
  createRouter,
  withCallLimit,
  type CallLink,
  type CallMethods,
  type PeerFailure,
} from '@goldcrestpier/peers';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import type {Configuration} from '../ports/index.js';
import {configurationSchema} from './configuration.js';
import {
  jobInquirySchema,
  jobPresenceSchema,
  type JobInquiry,
  type JobPresence,
} from './job_inquiry.js';
import {
  heartbeatSchema,
  jobAnswerSchema,
  jobCancellationSchema,
  jobSubmissionSchema,
  taskDelegationSchema,
  delegationAnswerSchema,
  delegatedTaskListSchema,
  delegatedTasksQuerySchema,
  delegationRecallSchema,
  type JobAnswer,
  type JobCancellation,
  type JobSubmission,
  type TaskDelegation,
  type DelegationAnswer,
  type DelegatedTaskList,
  type DelegatedTasksQuery,
  type DelegationRecall,
  type ZoneHeartbeat,
} from './messages.js';

/** The handlers of an instance for the calls of its peers. */
export interface ZoneHandlers {
  heartbeat(message: ZoneHeartbeat): Promise<ZoneHeartbeat>;
  submit(message: JobSubmission): Promise<JobAnswer>;
  cancel(message: JobCancellation): Promise<boolean>;
  inquire(message: JobInquiry): Promise<JobPresence>;
  readConfiguration(): Promise<Configuration | null>;
  runDelegatedTask(message: TaskDelegation): Promise<DelegationAnswer>;
  recall(message: DelegationRecall): Promise<boolean>;
  listDelegatedTasks(
    taskQuery: DelegatedTasksQuery,
  ): Promise<DelegatedTaskList>;
}

/** The tRPC procedure type of each call. */
export const zoneMethods: CallMethods = {
  heartbeat: 'mutation',
  submit: 'mutation',
  cancel: 'mutation',
  inquire: 'mutation',
  readConfiguration: 'query',
  lend: 'mutation',
  recall: 'mutation',
  listLent: 'query',
};

/** Creates the router; every input is validated before its handler runs. */
export function createZoneRouter(handlers: ZoneHandlers) {
  return createRouter({
    heartbeat: procedure
      .input(heartbeatSchema)
      .mutation(withCallLimit(input => handlers.heartbeat(input))),
    submit: procedure
      .input(jobSubmissionSchema)
      .mutation(withCallLimit(input => handlers.submit(input))),
    cancel: procedure
      .input(jobCancellationSchema)
      .mutation(withCallLimit(input => handlers.cancel(input))),
    inquire: procedure
      .input(jobInquirySchema)
      .mutation(withCallLimit(input => handlers.inquire(input))),
    readConfiguration: procedure.query(
      withCallLimit(() => handlers.readConfiguration()),
    ),
    lend: procedure
      .input(taskDelegationSchema)
      .mutation(withCallLimit(input => handlers.runDelegatedTask(input))),
    recall: procedure
      .input(delegationRecallSchema)
      .mutation(withCallLimit(input => handlers.recall(input))),
    listLent: procedure
      .input(delegatedTasksQuerySchema)
      .query(withCallLimit(input => handlers.listDelegatedTasks(input))),
  });
}

/** The answer didn't match the schema of the call. */
export interface MalformedAnswer {
  readonly kind: 'malformed';
}

/** Why a call failed. */
export type ZoneCallFailure = PeerFailure | MalformedAnswer;

/** Calls a peer over its link. Timeouts are in ms. */
export class ZoneClient {
  constructor(private readonly link: CallLink) {}

  /** Sends this instance's heartbeat; answered with the peer's heartbeat. */
  heartbeat(
    message: ZoneHeartbeat,
    timeoutMs: number,
  ): Promise<Result<ZoneHeartbeat, ZoneCallFailure>> {
    return this.request(heartbeatSchema, 'heartbeat', message, timeoutMs);
  }

  /** Submits a job to the holder; answered when the job has ended. */
  submit(
    message: JobSubmission,
    timeoutMs: number,
  ): Promise<Result<JobAnswer, ZoneCallFailure>> {
    return this.request(jobAnswerSchema, 'submit', message, timeoutMs);
  }

  /** Cancels a job; false if the peer isn't the holder. */
  cancel(
    message: JobCancellation,
    timeoutMs: number,
  ): Promise<Result<boolean, ZoneCallFailure>> {
    return this.request(z.boolean(), 'cancel', message, timeoutMs);
  }

  /** Finds or cancels a job for all its owners. */
  inquire(
    message: JobInquiry,
    timeoutMs: number,
  ): Promise<Result<JobPresence, ZoneCallFailure>> {
    return this.request(jobPresenceSchema, 'inquire', message, timeoutMs);
  }

  /** Reads the configuration that the peer knows; null if none. */
  readConfiguration(
    timeoutMs: number,
  ): Promise<Result<Configuration | null, ZoneCallFailure>> {
    const schema = configurationSchema.nullable();
    return this.request(schema, 'readConfiguration', undefined, timeoutMs);
  }

  /** Delegates a task; answered when its run has ended. */
  delegateTask(
    message: TaskDelegation,
    timeoutMs: number,
  ): Promise<Result<DelegationAnswer, ZoneCallFailure>> {
    return this.request(delegationAnswerSchema, 'lend', message, timeoutMs);
  }

  /** Recalls a delegated task; false if the peer isn't the holder. */
  recall(
    message: DelegationRecall,
    timeoutMs: number,
  ): Promise<Result<boolean, ZoneCallFailure>> {
    return this.request(z.boolean(), 'recall', message, timeoutMs);
  }

  /** Lists the tasks that the peer runs for a zone. */
  listDelegatedTasks(
    taskQuery: DelegatedTasksQuery,
    timeoutMs: number,
  ): Promise<Result<DelegatedTaskList, ZoneCallFailure>> {
    return this.request(
      delegatedTaskListSchema,
      'listLent',
      taskQuery,
      timeoutMs,
    );
  }

  private async request<Answer>(
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
