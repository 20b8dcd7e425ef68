/** What guarded workers answer, checked before it is believed. */
import {z} from 'zod';

/** Where a leased task stands. */
export enum LeaseState {
  Running = 'running',
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  Lapsed = 'lapsed',
}

/** What a worker measured of one task or of all; it comes late. */
export const usageSchema = z.object({
  processors: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
});

/** The answer to a new lease. */
export const leaseSchema = z.object({lease: z.string().min(1)});

/** The answer to a question after one lease. */
export const leaseReportSchema = z.object({
  state: z.enum(LeaseState),
  result: z.unknown().optional(),
  reason: z.string().default('no reason given'),
  usage: usageSchema.optional(),
});

/** The answer to a question after one lease. */
export type LeaseReport = Readonly<z.infer<typeof leaseReportSchema>>;
