/** Demand for slots, grants of them, and how each grant ended. */
import {BackendKind} from '@goldcrestpier/protocol';
import {z} from 'zod';

/** What one owner's queue wants of one pool. */
export const poolDemandSchema = z.object({
  /** `runner/<service>` or `worker`. */
  pool: z.string(),
  teams: z.array(
    z.object({
      team: z.string(),
      waiting: z.number().int().nonnegative(),
      /** How long its oldest task has waited, in milliseconds. */
      oldestMs: z.number().nonnegative(),
    }),
  ),
  /**
   * Grants of this pool that the owner got from this holder so far; the holder
   * sees by it which of its grants the owner had not seen when it wrote.
   */
  received: z.number().int().nonnegative().optional(),
  /** The needs of the first waiting tasks, for workers only. */
  needs: z.array(
    z.object({
      processors: z.number(),
      memoryMb: z.number(),
      accelerators: z.number(),
    }),
  ),
});

/** Replaces what the owner last told this holder. */
export const demandSchema = z.object({
  owner: z.string(),
  pools: z.array(poolDemandSchema),
});

/** Leave to start one task on one server. A lease: used, returned or expired. */
export const grantSchema = z.object({
  grant: z.string(),
  holder: z.string(),
  pool: z.string(),
  team: z.string(),
  server: z.string(),
  kind: z.enum(BackendKind),
  /** `host:port` of the server. */
  address: z.string(),
  /** Measured speed, 1 being the pool's mean. */
  speed: z.number(),
  /** What was reserved, for workers only. */
  needs: poolDemandSchema.shape.needs.element.optional(),
  expiresInMs: z.number().positive(),
});

/** What one more task may expect at a holder, by pool. */
export const prospectSchema = z.object({
  pool: z.string(),
  /** How long it would wait for a slot, in milliseconds. */
  waitMs: z.number().nonnegative(),
  /** Mean time between two slots that come free, in milliseconds. */
  everyMs: z.number().nonnegative(),
  /** Expected speed of the server that it would get. */
  speed: z.number().positive(),
});

/** Grants, in answer to a demand or pushed when slots come free. */
export const grantsSchema = z.object({
  grants: z.array(grantSchema),
  /** What one more task may expect at this holder. */
  prospects: z.array(prospectSchema).optional(),
});

/** How a grant ended. */
export enum GrantEnd {
  Done = 'done',
  Failed = 'failed',
  Busy = 'busy',
  Leaving = 'leaving',
  Unreachable = 'unreachable',
  Unknown = 'unknown',
  Returned = 'returned',
  /** Given up by the owner after the start: cancelled, late or hedged. */
  Stopped = 'stopped',
}

/** Tells a holder how some of its grants ended. */
export const settlementSchema = z.object({
  owner: z.string(),
  ends: z.array(
    z.object({
      grant: z.string(),
      server: z.string(),
      end: z.enum(GrantEnd),
      /** From start to answer, in milliseconds; absent when none came. */
      runMs: z.number().nonnegative().optional(),
      /** What the owner expected it to take on a server of mean speed. */
      expectedMs: z.number().positive().optional(),
    }),
  ),
  /** The owner's demand after these ends, when it changed. */
  demand: z.array(poolDemandSchema).optional(),
});

/** What one owner's queue wants of one pool. */
export type PoolDemand = Readonly<z.infer<typeof poolDemandSchema>>;
/** Replaces what the owner last told this holder. */
export type Demand = Readonly<z.infer<typeof demandSchema>>;
/** Leave to start one task on one server. */
export type Grant = Readonly<z.infer<typeof grantSchema>>;
/** Grants, in answer to a demand or pushed when slots come free. */
export type Grants = Readonly<z.infer<typeof grantsSchema>>;
/** What one more task may expect at a holder. */
export type Prospect = Readonly<z.infer<typeof prospectSchema>>;
/** Tells a holder how some of its grants ended. */
export type Settlement = Readonly<z.infer<typeof settlementSchema>>;
