/** Heartbeats between instances: membership and the state sent with it. */
import {z} from 'zod';

/** Maximum number of addresses in one heartbeat. */
export const MAX_ADDRESSES = 64;

/** Whether an instance accepts new work. */
export enum MemberState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One entry instance, as described to its peers. */
export const memberSchema = z.object({
  /** `zone.instance.nonce`. */
  incarnation: z.string(),
  zone: z.string(),
  instance: z.string(),
  /** `host:port` of its peer listener. */
  peerAddress: z.string(),
  state: z.enum(MemberState),
  /** Capacity relative to other instances, which may differ in size. */
  weight: z.number().positive(),
  /** Wall-clock start time of its process, in ms; orders incarnations. */
  startedAt: z.number().optional(),
});

/** The instance that took over the sessions of one that left. */
export const successorSchema = z.object({
  incarnation: z.string(),
  successor: z.string(),
  /** Time since the instance left, in ms. */
  ageMs: z.number().nonnegative().optional(),
});

/** Sent by each instance to each peer at an interval, and sent back in answer. */
export const heartbeatSchema = z.object({
  from: memberSchema,
  /** The sender's monotonic clock, in ms. */
  sentAt: z.number(),
  settingsRevision: z.number().int().nonnegative(),
  successors: z.array(successorSchema),
  /** Addresses of peer listeners, for instances that have just joined. */
  addresses: z.array(z.string()).max(MAX_ADDRESSES).optional(),
  /** Grants in use by the sender for servers it believes the receiver holds. */
  grantsInUse: z.array(z.object({grant: z.string(), server: z.string()})),
  /** Free capacity of the servers that the sender holds, by pool. */
  spare: z.array(
    z.object({
      pool: z.string(),
      free: z.number().int().nonnegative(),
      /** Expected speed for one more task, relative to the pool's mean of 1. */
      speed: z.number(),
      /** Expected wait of one more task for a slot, in ms. */
      waitMs: z.number().nonnegative().optional(),
      /** Mean time between two slots becoming free, in ms. */
      everyMs: z.number().nonnegative().optional(),
    }),
  ),
});

/** One entry instance, as described to its peers. */
export type Member = Readonly<z.infer<typeof memberSchema>>;
/** The instance that took over the sessions of one that left. */
export type Successor = Readonly<z.infer<typeof successorSchema>>;
/** Sent by each instance to each peer at an interval. */
export type Heartbeat = Readonly<z.infer<typeof heartbeatSchema>>;
