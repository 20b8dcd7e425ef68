/** A planned stop passes its sessions to a peer, which then answers for them. */
import {jobAnswerSchema} from '@goldcrestpier/protocol';
import {z} from 'zod';

/** One session of an instance that leaves. */
export const handedSessionSchema = z.object({
  session: z.string(),
  /** Ended jobs, with the digest of what was submitted. */
  answers: z.array(z.object({digest: z.string(), answer: jobAnswerSchema})),
  /** Keys whose attempts were refused, up to and with this one. */
  closed: z.array(z.object({key: z.string(), attempt: z.number().int()})),
});

/** Sessions of an instance that leaves; sent in parts. */
export const handOverSchema = z.object({
  from: z.string(),
  sessions: z.array(handedSessionSchema),
});

/** One session of an instance that leaves. */
export type HandedSession = Readonly<z.infer<typeof handedSessionSchema>>;
/** Sessions of an instance that leaves. */
export type HandOver = Readonly<z.infer<typeof handOverSchema>>;
