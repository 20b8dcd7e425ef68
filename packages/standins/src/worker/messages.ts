/** Options and request bodies of a guarded worker. */
import {z} from 'zod';

const DEFAULT_PROCESSORS = 64;
const DEFAULT_MEMORY_MB = 128 * 1024;

/** Schema of `WorkerOptions`. */
export const workerOptionsSchema = z.strictObject({
  name: z.string(),
  port: z.number().int().optional(),
  adminPort: z.number().int().optional(),
  /** Speed factor: 2 runs a task in half its `runMs`. */
  speed: z.number().positive().default(1),
  processors: z.number().int().min(1).default(DEFAULT_PROCESSORS),
  memoryMb: z.number().int().min(1).default(DEFAULT_MEMORY_MB),
  accelerators: z.number().int().min(0).default(0),
  connectionLimit: z.number().int().min(1).optional(),
  /** Delay until a task's resource usage is reported, in milliseconds. */
  lagMs: z.number().min(0).default(0),
});

/** Options of `startWorker`. */
export type WorkerOptions = Readonly<z.input<typeof workerOptionsSchema>>;

/** Request to start a task under a lease. */
export const leaseRequestSchema = z.object({
  job: z.string(),
  task: z.string(),
  processors: z.number().min(0),
  memoryMb: z.number().min(0),
  accelerators: z.number().min(0).default(0),
  leaseMs: z.number().positive(),
  payload: z.unknown().optional(),
});

/** Request to start a task under a lease. */
export type LeaseRequest = Readonly<z.infer<typeof leaseRequestSchema>>;

/** Request to renew a lease for `leaseMs` from now. */
export const renewalSchema = z.object({leaseMs: z.number().positive()});

/** Request to set a task's rate, as a share of the full rate. */
export const throttleSchema = z.object({share: z.number().min(0).max(1)});
