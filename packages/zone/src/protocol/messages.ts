/** Messages between the instances of one deployment. */
import {AbandonReason, RefusalReason} from '@goldcrestpier/dispatch';
import {z} from 'zod';

/** Most workers that one row of free room speaks for. */
const MOST_ALIKE = 10_000;

const claimSchema = z.object({
  /** Id of the instance that holds the zone's workers. */
  holderId: z.string(),
  token: z.number(),
});

/**
 * Workers with the same free room: slowness, processors in thousandths, memory in
 * MB, how many workers.
 */
const vacancySchema = z.tuple([
  z.number(),
  z.number(),
  z.number(),
  z.number().int().positive().max(MOST_ALIKE),
]);

const roomSchema = z.object({
  service: z.string(),
  vacancies: z.array(vacancySchema),
});

/** Sent to each peer several times a second, and answered with the same. */
export const heartbeatSchema = z.object({
  id: z.string(),
  zone: z.string(),
  address: z.string(),
  /** What the sender may use of processors, in whole ones. */
  processors: z.number(),
  isLeaving: z.boolean(),
  /** The highest claim that the sender knows. */
  claim: claimSchema.optional(),
  /** How long ago the sender heard from that holder, in ms. */
  holderHeardMs: z.number().optional(),
  configurationVersion: z.number(),
  /** How long ago the sender knew that version to be the newest, in ms. */
  configurationAgeMs: z.number().optional(),
  /** Free room of the sender's workers; holders tell other zones. */
  rooms: z.array(roomSchema).optional(),
});

const needSchema = z.object({
  cpuMillis: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

const stepSchema = z.object({
  tasks: z.number().int().positive(),
  need: needSchema,
  estimateMs: z.number(),
  after: z.array(z.number().int().nonnegative()),
  requiredLabel: z.string().optional(),
  dataRack: z.string().optional(),
  maxPerWorker: z.number().int().positive().optional(),
});

const taskProgressStateSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('waiting')}),
  z.object({
    kind: z.literal('running'),
    run: z.number(),
    workerId: z.string(),
    tookMs: z.number(),
  }),
  z.object({
    kind: z.literal('lent'),
    run: z.number(),
    zone: z.string(),
    tookMs: z.number(),
  }),
  z.object({kind: z.literal('done')}),
]);

/** What a holder that steps down knows of a job. */
const jobProgressSchema = z.object({
  isComplete: z.boolean(),
  tasks: z
    .array(
      z.object({
        key: z.string(),
        lastRun: z.number(),
        failures: z.number(),
        state: taskProgressStateSchema,
      }),
    )
    .readonly(),
});

/** Hands a job to the holder; answered when the job has ended. */
export const jobSubmissionSchema = z.object({
  /** Id of the instance that answers the caller. */
  ownerId: z.string(),
  /** Whether another holder may have started some of it. */
  isResumed: z.boolean(),
  id: z.string(),
  queue: z.string(),
  service: z.string(),
  priority: z.number(),
  maxAttempts: z.number(),
  stretch: z.number(),
  targetMs: z.number(),
  payload: z.string(),
  steps: z.array(stepSchema),
  /** How long ago the job arrived, in ms. */
  ageMs: z.number(),
  /** How long its caller still waits, in ms. */
  remainingMs: z.number(),
  /** What the holder before told of it when it stepped down. */
  progress: jobProgressSchema.optional(),
});

/** Lends one task; answered when its run has ended. */
export const lendingSchema = z.object({
  /** The zone that lends it, and the token of its holder. */
  homeZone: z.string(),
  token: z.number(),
  job: jobSubmissionSchema,
  step: z.number().int().nonnegative(),
  index: z.number().int().nonnegative(),
  run: z.number().int().positive(),
  /** Only asks how a run ended that another holder of the zone has lent. */
  isJoin: z.boolean(),
  /** What the holder before told of it when it stepped down. */
  progress: jobProgressSchema.optional(),
});

/** Takes a lent task back. */
export const recallSchema = z.object({
  /** The zone that takes it back, and the token of its holder. */
  homeZone: z.string(),
  token: z.number(),
  /** The task's name as text. */
  task: z.string(),
});

/** Asks what the peer runs for a zone. */
export const lentQuestionSchema = z.object({
  /** The zone that asks, and the token of its holder. */
  homeZone: z.string(),
  token: z.number(),
});

/** What the peer runs, or may run, for a zone. */
export const lentListSchema = z.object({
  /** Whether nothing else can run there for any zone. */
  isComplete: z.boolean(),
  tasks: z.array(z.object({key: z.string(), run: z.number()})),
});

/** How a job ended, or that this instance holds the workers no more. */
export const jobAnswerSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('completed')}),
  z.object({kind: z.literal('failed')}),
  z.object({
    kind: z.literal('refused'),
    reason: z.enum(RefusalReason),
    retryAfterMs: z.number(),
  }),
  z.object({kind: z.literal('abandoned'), reason: z.enum(AbandonReason)}),
  /**
   * Not the holder. `mayHaveStarted`: it was, and lost it on the way; `progress`
   * is what it knew of the job then.
   */
  z.object({
    kind: z.literal('not_holder'),
    mayHaveStarted: z.boolean(),
    progress: jobProgressSchema.optional(),
  }),
]);

/** How a lent task ended, and what room the zone has now. */
export const lentAnswerSchema = z.object({
  answer: jobAnswerSchema,
  rooms: z.array(roomSchema).optional(),
});

/** Gives a job up: the caller left or cancelled. */
export const jobCancellationSchema = z.object({
  ownerId: z.string(),
  jobId: z.string(),
});

const queueSchema = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  service: z.string(),
  priority: z.number(),
  maxAttempts: z.number(),
  stretch: z.number(),
  targetMs: z.number(),
  timeoutMs: z.number(),
});

/** The configuration that a peer has. */
export const configurationSchema = z.object({
  version: z.number(),
  queues: z.array(queueSchema),
  limits: z.object({
    maxHeaderBytes: z.number(),
    maxBodyBytes: z.number(),
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number(),
  }),
});

/** The holder of a zone and its token. */
export type Claim = z.infer<typeof claimSchema>;
/** Sent to each peer several times a second. */
export type ZoneHeartbeat = z.infer<typeof heartbeatSchema>;
/** Hands a job to the holder. */
export type JobSubmission = z.infer<typeof jobSubmissionSchema>;
/** Lends one task. */
export type Lending = z.infer<typeof lendingSchema>;
/** Takes a lent task back. */
export type Recall = z.infer<typeof recallSchema>;
/** Asks what the peer runs for a zone. */
export type LentQuestion = z.infer<typeof lentQuestionSchema>;
/** What the peer runs, or may run, for a zone. */
export type LentList = z.infer<typeof lentListSchema>;
/** How a submission ended. */
export type JobAnswer = z.infer<typeof jobAnswerSchema>;
/** How a lent task ended, and what room the zone has now. */
export type LentAnswer = z.infer<typeof lentAnswerSchema>;
/** Gives a job up. */
export type JobCancellation = z.infer<typeof jobCancellationSchema>;
