/** What a guarded worker is set up with and what it is sent. */
import {z} from 'zod';

const DEFAULT_PROCESSORS = 64;
const DEFAULT_MEMORY_MB = 128 * 1024;

/** What a worker is set up with. */
export const workerOptionsSchema = z.strictObject({
  name: z.string(),
  port: z.number().int().optional(),
  adminPort: z.number().int().optional(),
  /** Work done per millisecond, against a server of speed 1. */
  speed: z.number().positive().default(1),
  processors: z.number().int().min(1).default(DEFAULT_PROCESSORS),
  memoryMb: z.number().int().min(1).default(DEFAULT_MEMORY_MB),
  accelerators: z.number().int().min(0).default(0),
  connectionLimit: z.number().int().min(1).optional(),
  /** How long a task's use takes to be known, in milliseconds. */
  lagMs: z.number().min(0).default(0),
});

/** What a worker is set up with; all but the name have defaults. */
export type WorkerOptions = Readonly<z.input<typeof workerOptionsSchema>>;

/** A task to start under a lease. */
export const leaseRequestSchema = z.object({
  job: z.string(),
  task: z.string(),
  processors: z.number().min(0),
  memoryMb: z.number().min(0),
  accelerators: z.number().min(0).default(0),
  leaseMs: z.number().positive(),
  payload: z.unknown().optional(),
});

/** A task to start under a lease. */
export type LeaseRequest = Readonly<z.infer<typeof leaseRequestSchema>>;

/** How long a renewed lease lasts, in milliseconds. */
export const renewalSchema = z.object({leaseMs: z.number().positive()});

/** The share of its full rate that a task goes on at. */
export const throttleSchema = z.object({share: z.number().min(0).max(1)});
