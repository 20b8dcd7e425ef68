/** Heartbeats: who is there, and what rides along. */
import {z} from 'zod';

/** Addresses in one heartbeat. */
export const MAX_ADDRESSES = 64;

/** Whether an instance takes new work. */
export enum MemberState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One entry instance as its peers know it. */
export const memberSchema = z.object({
  /** `zone.instance.nonce`. */
  incarnation: z.string(),
  zone: z.string(),
  instance: z.string(),
  /** `host:port` of its peers' listener. */
  peerAddress: z.string(),
  state: z.enum(MemberState),
  /** Its size relative to the others; instances are not all alike. */
  weight: z.number().positive(),
  /** Wall clock at the start of its process, in ms; orders incarnations. */
  startedAt: z.number().optional(),
});

/** Which instance answers for the sessions of one that left. */
export const successorSchema = z.object({
  incarnation: z.string(),
  successor: z.string(),
  /** How long ago the instance left, in ms. */
  ageMs: z.number().nonnegative().optional(),
});

/** What each instance tells each peer at an interval, and is answered with. */
export const heartbeatSchema = z.object({
  from: memberSchema,
  /** The sender's monotonic clock, in milliseconds. */
  sentAt: z.number(),
  settingsRevision: z.number().int().nonnegative(),
  successors: z.array(successorSchema),
  /** Peers' listeners that a newcomer may not know. */
  addresses: z.array(z.string()).max(MAX_ADDRESSES).optional(),
  /** Grants the sender uses of servers that it believes the receiver holds. */
  grantsInUse: z.array(z.object({grant: z.string(), server: z.string()})),
  /** Free capacity of the servers the sender holds, by pool. */
  spare: z.array(
    z.object({
      pool: z.string(),
      free: z.number().int().nonnegative(),
      /** Expected speed for one more task, 1 being the pool's mean. */
      speed: z.number(),
      /** How long one more task would wait for a slot, in milliseconds. */
      waitMs: z.number().nonnegative().optional(),
      /** Mean time between two slots that come free, in milliseconds. */
      everyMs: z.number().nonnegative().optional(),
    }),
  ),
});

/** One entry instance as its peers know it. */
export type Member = Readonly<z.infer<typeof memberSchema>>;
/** Which instance answers for the sessions of one that left. */
export type Successor = Readonly<z.infer<typeof successorSchema>>;
/** What each instance tells each peer at an interval. */
export type Heartbeat = Readonly<z.infer<typeof heartbeatSchema>>;
