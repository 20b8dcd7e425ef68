/** Schemas and types of client requests and responses. */
import {z} from 'zod';
import {failureSchema} from '../failures/index.js';
import {nameSchema} from '../identity/index.js';

/** Limits on a submission, which are the same on all instances. */
export const MAX_TASKS_PER_JOB = 1000;
const MAX_KEY_CHARACTERS = 128;
const MAX_DEADLINE_MS = 24 * 60 * 60 * 1000;
const DEFAULT_DEADLINE_MS = 60_000;
const DEFAULT_TEAM = 'default';

/** Schema for the client's key of a job, unique within its session. */
export const keySchema = z
  .string()
  .min(1, 'expected a key')
  .max(MAX_KEY_CHARACTERS, `expected ${MAX_KEY_CHARACTERS} characters at most`)
  .regex(/^[A-Za-z0-9._~-]+$/, 'expected only A-Z, a-z, 0-9 and . _ ~ -');

/** Schema for the attempt number of a submission of a key, starting from 1. */
export const attemptSchema = z
  .number('expected a number')
  .int('expected a whole number')
  .min(1, 'expected 1 or more')
  .max(1_000_000, 'expected 1000000 or less');

/** Schema for the resources that a task needs on a guarded worker. */
export const needsSchema = z.strictObject({
  /** Number of processor cores. */
  processors: z
    .number('expected a number')
    .int('expected a whole number')
    .min(1, 'expected 1 or more'),
  /** Memory in megabytes. */
  memoryMb: z
    .number('expected a number')
    .int('expected a whole number')
    .min(1, 'expected 1 or more'),
  /** Number of accelerator devices. */
  accelerators: z
    .number('expected a number')
    .int('expected a whole number')
    .min(0, 'expected 0 or more')
    .default(0),
});

/** Schema for a submitted task, for a service (its runners) or a worker. */
export const taskSchema = z
  .strictObject({
    service: nameSchema.optional(),
    worker: needsSchema.optional(),
    /** The client's estimate of the run time, in milliseconds; unreliable. */
    declaredMs: z
      .number('expected a number')
      .positive('expected more than 0')
      .max(MAX_DEADLINE_MS)
      .optional(),
    /** Whether the task is idempotent, so that it may be run more than once. */
    repeatable: z.boolean('expected true or false').default(false),
    payload: z.unknown(),
  })
  .refine(
    task => (task.service === undefined) !== (task.worker === undefined),
    {
      message: 'expected either "service" or "worker"',
    },
  );

/** Schema for a submitted job. */
export const jobSchema = z.strictObject({
  team: nameSchema.default(DEFAULT_TEAM),
  /** Time limit of the whole job from its acceptance, in milliseconds. */
  deadlineMs: z
    .number('expected a number')
    .int('expected a whole number')
    .min(1, 'expected 1 or more')
    .max(MAX_DEADLINE_MS)
    .default(DEFAULT_DEADLINE_MS),
  tasks: z
    .array(taskSchema, 'expected a list of tasks')
    .min(1, 'expected at least one task')
    .max(MAX_TASKS_PER_JOB, `expected ${MAX_TASKS_PER_JOB} tasks at most`),
});

/** The resources that a task needs on a guarded worker. */
export type Needs = Readonly<z.infer<typeof needsSchema>>;
/** A validated task of a submission. */
export type SubmittedTask = Readonly<z.infer<typeof taskSchema>>;
/** A validated submission. */
export type SubmittedJob = Readonly<z.infer<typeof jobSchema>>;

/** State of a job. It ends as complete only if every task succeeded. */
export enum JobState {
  Running = 'running',
  Complete = 'complete',
  Failed = 'failed',
}

/** State of a task. */
export enum TaskState {
  Waiting = 'waiting',
  Started = 'started',
  Done = 'done',
  Failed = 'failed',
}

/** Schema for the state of one task in an answer. */
export const taskAnswerSchema = z.object({
  index: z.number().int(),
  state: z.enum(TaskState),
  result: z.unknown().optional(),
  failure: failureSchema.optional(),
});

/** Schema for the answer of a job. */
export const jobAnswerSchema = z.object({
  session: z.string(),
  key: z.string(),
  attempt: z.number().int(),
  state: z.enum(JobState),
  failure: failureSchema.optional(),
  tasks: z.array(taskAnswerSchema),
});

/** Schema for the response to opening a session. */
export const sessionAnswerSchema = z.object({
  session: z.string(),
  /** Idle time after which the session ends, in milliseconds. */
  idleMs: z.number(),
});

/** The state of one task in an answer. */
export type TaskAnswer = Readonly<z.infer<typeof taskAnswerSchema>>;
/** The answer of a job: its state and that of all its tasks. */
export type JobAnswer = Readonly<z.infer<typeof jobAnswerSchema>>;
/** The response to opening a session. */
export type SessionAnswer = Readonly<z.infer<typeof sessionAnswerSchema>>;
