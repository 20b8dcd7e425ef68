/** Placement messages: demand for slots, grants of slots and their outcomes. */
import {BackendKind} from '@goldcrestpier/protocol';
import {z} from 'zod';

/** Demand of one owner's queue for the slots of one pool. */
export const poolDemandSchema = z.object({
  /** `runner/<service>` or `worker`. */
  pool: z.string(),
  teams: z.array(
    z.object({
      team: z.string(),
      waiting: z.number().int().nonnegative(),
      /** How long the team's oldest task has waited, in ms. */
      oldestMs: z.number().nonnegative(),
    }),
  ),
  /**
   * Number of grants of this pool that the owner has received from this holder.
   * It tells the holder which grants the owner had not seen when it sent this.
   */
  received: z.number().int().nonnegative().optional(),
  /** Resource needs of the first waiting tasks, for workers only. */
  needs: z.array(
    z.object({
      processors: z.number(),
      memoryMb: z.number(),
      accelerators: z.number(),
    }),
  ),
});

/** An owner's whole demand on a holder; replaces its previous demand. */
export const demandSchema = z.object({
  owner: z.string(),
  pools: z.array(poolDemandSchema),
});

/** Lease to start one task on one server: it is used, returned or expires. */
export const grantSchema = z.object({
  grant: z.string(),
  holder: z.string(),
  pool: z.string(),
  team: z.string(),
  server: z.string(),
  kind: z.enum(BackendKind),
  /** `host:port` of the server. */
  address: z.string(),
  /** Measured speed, relative to the pool's mean of 1. */
  speed: z.number(),
  /** Reserved resources, for workers only. */
  needs: poolDemandSchema.shape.needs.element.optional(),
  expiresInMs: z.number().positive(),
});

/** Expected wait and speed of one more task at a holder, by pool. */
export const prospectSchema = z.object({
  pool: z.string(),
  /** Expected wait for a slot, in ms. */
  waitMs: z.number().nonnegative(),
  /** Mean time between two slots becoming free, in ms. */
  everyMs: z.number().nonnegative(),
  /** Expected speed of the server that the task would run on. */
  speed: z.number().positive(),
});

/** Grants, in answer to a demand or pushed when slots become free. */
export const grantsSchema = z.object({
  grants: z.array(grantSchema),
  /** Expected wait and speed of one more task at this holder. */
  prospects: z.array(prospectSchema).optional(),
});

/** Outcome of a grant. */
export enum GrantEnd {
  Done = 'done',
  Failed = 'failed',
  Busy = 'busy',
  Leaving = 'leaving',
  Unreachable = 'unreachable',
  Unknown = 'unknown',
  Returned = 'returned',
  /** Stopped by the owner after the start: cancelled, late or hedged. */
  Stopped = 'stopped',
}

/** Reports the outcome of grants to their holder. */
export const settlementSchema = z.object({
  owner: z.string(),
  ends: z.array(
    z.object({
      grant: z.string(),
      server: z.string(),
      end: z.enum(GrantEnd),
      /** Time from start to answer, in ms; absent without an answer. */
      runMs: z.number().nonnegative().optional(),
      /** Run time in ms that the owner expected on a server of mean speed. */
      expectedMs: z.number().positive().optional(),
    }),
  ),
  /** The owner's demand after these outcomes, if it changed. */
  demand: z.array(poolDemandSchema).optional(),
});

/** Demand of one owner's queue for the slots of one pool. */
export type PoolDemand = Readonly<z.infer<typeof poolDemandSchema>>;
/** An owner's whole demand on a holder; replaces its previous demand. */
export type Demand = Readonly<z.infer<typeof demandSchema>>;
/** Lease to start one task on one server. */
export type Grant = Readonly<z.infer<typeof grantSchema>>;
/** Grants, in answer to a demand or pushed when slots become free. */
export type Grants = Readonly<z.infer<typeof grantsSchema>>;
/** Expected wait and speed of one more task at a holder. */
export type Prospect = Readonly<z.infer<typeof prospectSchema>>;
/** Reports the outcome of grants to their holder. */
export type Settlement = Readonly<z.infer<typeof settlementSchema>>;
