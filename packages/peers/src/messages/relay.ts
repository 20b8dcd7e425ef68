/** What an instance relays to the owner of a session, and is answered. */
import {
  attemptSchema,
  failureSchema,
  jobAnswerSchema,
  jobSchema,
  keySchema,
} from '@goldcrestpier/protocol';
import {z} from 'zod';

/** A submission on its way to the owner. */
export const submissionSchema = z.object({
  session: z.string(),
  key: keySchema,
  /** Absent when the client sends no attempts. */
  attempt: attemptSchema.optional(),
  job: jobSchema,
  /**
   * The owner's clock as last heard when the submission was received. The
   * owner's present time less this is never below the submission's age.
   */
  ownerClock: z.number(),
  /** How long the answer may wait for the job's end, in milliseconds. */
  waitMs: z.number().nonnegative(),
});

/** Names one job and how long to wait for its end. */
export const jobQuerySchema = z.object({
  session: z.string(),
  key: keySchema,
  waitMs: z.number().nonnegative(),
});

/** Names one session. */
export const sessionQuerySchema = z.object({session: z.string()});

/** How a relayed request was answered. */
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

/** A submission on its way to the owner. */
export type Submission = Readonly<z.infer<typeof submissionSchema>>;
/** Names one job and how long to wait for its end. */
export type JobQuery = Readonly<z.infer<typeof jobQuerySchema>>;
/** Names one session. */
export type SessionQuery = Readonly<z.infer<typeof sessionQuerySchema>>;
/** The owner's answer to a relayed request. */
export type RelayAnswer = Readonly<z.infer<typeof relayAnswerSchema>>;
