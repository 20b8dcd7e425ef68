/** Schemas that validate the responses of guarded workers. */
import {z} from 'zod';

/** State of a task that runs under a lease. */
export enum LeaseState {
  Running = 'running',
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  Expired = 'lapsed',
}

/** Usage of one task or of all tasks; it lags behind the actual usage. */
export const usageSchema = z.object({
  processors: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
});

/** Response to a request for a new lease. */
export const leaseResponseSchema = z.object({lease: z.string().min(1)});

/** Response to a poll of one lease. */
export const leaseReportSchema = z.object({
  state: z.enum(LeaseState),
  result: z.unknown().optional(),
  reason: z.string().default('no reason given'),
  usage: usageSchema.optional(),
});

/** State of a leased task, as the worker reports it. */
export type LeaseReport = Readonly<z.infer<typeof leaseReportSchema>>;
