/** Requests that an instance relays to the owner of a session, and answers. */
import {
  attemptSchema,
  failureSchema,
  jobAnswerSchema,
  jobSchema,
  keySchema,
} from '@goldcrestpier/protocol';
import {z} from 'zod';

/** A job submission relayed to the owner of its session. */
export const submissionSchema = z.object({
  session: z.string(),
  key: keySchema,
  /** Attempt number; absent if the client does not send one. */
  attempt: attemptSchema.optional(),
  job: jobSchema,
  /**
   * The owner's clock reading last received before the submission arrived. The
   * owner's current time minus this value is never less than the submission's
   * age.
   */
  ownerClock: z.number(),
  /** Maximum time to delay the answer until the job ends, in ms. */
  waitMs: z.number().nonnegative(),
});

/** Identifies a job, and sets how long in ms to wait for its end. */
export const jobQuerySchema = z.object({
  session: z.string(),
  key: keySchema,
  waitMs: z.number().nonnegative(),
});

/** Identifies a session. */
export const sessionQuerySchema = z.object({session: z.string()});

/** Kind of an answer to a relayed request. */
export enum RelayAnswerKind {
  Job = 'job',
  Ended = 'ended',
  Failure = 'failure',
}

/** The owner's answer to a relayed request. */
export const relayAnswerSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal(RelayAnswerKind.Job), answer: jobAnswerSchema}),
  z.object({kind: z.literal(RelayAnswerKind.Ended)}),
  z.object({
    kind: z.literal(RelayAnswerKind.Failure),
    failure: failureSchema,
  }),
]);

/** A job submission relayed to the owner of its session. */
export type Submission = Readonly<z.infer<typeof submissionSchema>>;
/** Identifies a job, and sets how long in ms to wait for its end. */
export type JobQuery = Readonly<z.infer<typeof jobQuerySchema>>;
/** Identifies a session. */
export type SessionQuery = Readonly<z.infer<typeof sessionQuerySchema>>;
/** The owner's answer to a relayed request. */
export type RelayAnswer = Readonly<z.infer<typeof relayAnswerSchema>>;
