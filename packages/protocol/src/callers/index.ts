/** What callers send and what they are answered. */
import {z} from 'zod';
import {failureSchema} from '../failures/index.js';
import {nameSchema} from '../identity/index.js';

/** Limits on one submission that hold at every instance alike. */
export const MAX_TASKS_PER_JOB = 1000;
const MAX_KEY_CHARACTERS = 128;
const MAX_DEADLINE_MS = 24 * 60 * 60 * 1000;
const DEFAULT_DEADLINE_MS = 60_000;
const DEFAULT_TEAM = 'default';

/** The client's own name for a job within its session. */
export const keySchema = z
  .string()
  .min(1, 'expected a key')
  .max(MAX_KEY_CHARACTERS, `expected ${MAX_KEY_CHARACTERS} characters at most`)
  .regex(/^[A-Za-z0-9._~-]+$/, 'expected only A-Z, a-z, 0-9 and . _ ~ -');

/** Counts the tries of one key, from 1. */
export const attemptSchema = z
  .number('expected a number')
  .int('expected a whole number')
  .min(1, 'expected 1 or more')
  .max(1_000_000, 'expected 1000000 or less');

/** What a task needs of a guarded worker. */
export const needsSchema = z.strictObject({
  /** Processors, in whole cores. */
  processors: z
    .number('expected a number')
    .int('expected a whole number')
    .min(1, 'expected 1 or more'),
  /** Memory in megabytes. */
  memoryMb: z
    .number('expected a number')
    .int('expected a whole number')
    .min(1, 'expected 1 or more'),
  /** Accelerators, in whole devices. */
  accelerators: z
    .number('expected a number')
    .int('expected a whole number')
    .min(0, 'expected 0 or more')
    .default(0),
});

/** One task as the caller sends it: for a service's runners or for a worker. */
export const taskSchema = z
  .strictObject({
    service: nameSchema.optional(),
    worker: needsSchema.optional(),
    /** The caller's guess of its run time, in milliseconds; may be far off. */
    declaredMs: z
      .number('expected a number')
      .positive('expected more than 0')
      .max(MAX_DEADLINE_MS)
      .optional(),
    /** Whether running it twice does no harm. */
    repeatable: z.boolean('expected true or false').default(false),
    payload: z.unknown(),
  })
  .refine(
    task => (task.service === undefined) !== (task.worker === undefined),
    {
      message: 'expected either "service" or "worker"',
    },
  );

/** One job as the caller sends it. */
export const jobSchema = z.strictObject({
  team: nameSchema.default(DEFAULT_TEAM),
  /** How long the whole job may take from its acceptance, in milliseconds. */
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

/** What a task needs of a guarded worker. */
export type Needs = Readonly<z.infer<typeof needsSchema>>;
/** One checked task of a submission. */
export type SubmittedTask = Readonly<z.infer<typeof taskSchema>>;
/** One checked submission. */
export type SubmittedJob = Readonly<z.infer<typeof jobSchema>>;

/** Where a job stands. It ends as complete or failed, never in between. */
export enum JobState {
  Running = 'running',
  Complete = 'complete',
  Failed = 'failed',
}

/** Where a task stands. */
export enum TaskState {
  Waiting = 'waiting',
  Started = 'started',
  Done = 'done',
  Failed = 'failed',
}

/** One task in an answer. */
export const taskAnswerSchema = z.object({
  index: z.number().int(),
  state: z.enum(TaskState),
  result: z.unknown().optional(),
  failure: failureSchema.optional(),
});

/** A whole job in an answer. */
export const jobAnswerSchema = z.object({
  session: z.string(),
  key: z.string(),
  attempt: z.number().int(),
  state: z.enum(JobState),
  failure: failureSchema.optional(),
  tasks: z.array(taskAnswerSchema),
});

/** The answer to the opening of a session. */
export const sessionAnswerSchema = z.object({
  session: z.string(),
  /** How long the session lives without use, in milliseconds. */
  idleMs: z.number(),
});

/** One task in an answer. */
export type TaskAnswer = Readonly<z.infer<typeof taskAnswerSchema>>;
/** A whole job in an answer. */
export type JobAnswer = Readonly<z.infer<typeof jobAnswerSchema>>;
/** The answer to the opening of a session. */
export type SessionAnswer = Readonly<z.infer<typeof sessionAnswerSchema>>;
