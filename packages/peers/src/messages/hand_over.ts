/** Handover of sessions to a peer, which serves them after a planned stop. */
import {jobAnswerSchema} from '@goldcrestpier/protocol';
import {z} from 'zod';

/** One session of an instance that is leaving. */
export const handedOverSessionSchema = z.object({
  session: z.string(),
  /** Answers of ended jobs, with the digest of the submission. */
  answers: z.array(z.object({digest: z.string(), answer: jobAnswerSchema})),
  /** Keys whose attempts up to and including this one were refused. */
  closed: z.array(z.object({key: z.string(), attempt: z.number().int()})),
});

/** Sessions of an instance that is leaving, sent in several messages. */
export const handOverSchema = z.object({
  from: z.string(),
  sessions: z.array(handedOverSessionSchema),
});

/** One session of an instance that is leaving. */
export type HandedOverSession = Readonly<
  z.infer<typeof handedOverSessionSchema>
>;
/** Sessions of an instance that is leaving. */
export type HandOver = Readonly<z.infer<typeof handOverSchema>>;
