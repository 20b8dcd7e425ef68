/** Messages between the instances of one deployment. */
import {AbandonReason, RefusalReason} from '@goldcrestpier/dispatch';
import {z} from 'zod';

const claimSchema = z.object({
  /** Id of the instance that holds the zone's workers. */
  holderId: z.string(),
  token: z.number(),
});

/** Sent to each peer several times a second, and answered with the same. */
export const heartbeatSchema = z.object({
  id: z.string(),
  zone: z.string(),
  address: z.string(),
  isLeaving: z.boolean(),
  /** The highest claim that the sender knows. */
  claim: claimSchema.optional(),
  /** How long ago the sender heard from that holder, in ms. */
  holderHeardMs: z.number().optional(),
  configurationVersion: z.number(),
  /** Free processors of the sender's workers, in thousandths; holders only. */
  freeMillis: z.number().optional(),
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
  /** Instances that have passed the job on so far. */
  hops: z.number().int().nonnegative(),
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
  /** Not the holder. `mayHaveStarted`: it was, and lost it on the way. */
  z.object({kind: z.literal('not_holder'), mayHaveStarted: z.boolean()}),
]);

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
/** How a submission ended. */
export type JobAnswer = z.infer<typeof jobAnswerSchema>;
/** Gives a job up. */
export type JobCancellation = z.infer<typeof jobCancellationSchema>;
