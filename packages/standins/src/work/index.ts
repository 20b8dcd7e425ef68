/** Simulated work of a task, described by its payload. */
import {z} from 'zod';

const DEFAULT_KIND = 'task';

const payloadSchema = z.object({
  /** Kind of task; usage is reported by kind. */
  kind: z.string().default(DEFAULT_KIND),
  /** Run time on a server of speed 1, in milliseconds. */
  runMs: z.number().min(0).default(0),
  /** Returned in the result. */
  echo: z.unknown().optional(),
  /** Whether the task fails after its run time. */
  fail: z.boolean().default(false),
  /** Length of `filling` in the result, in bytes. */
  resultBytes: z.number().int().min(0).default(0),
  /** Actual usage, if it differs from the requested resources. */
  usesProcessors: z.number().min(0).optional(),
  usesMemoryMb: z.number().min(0).optional(),
  usesAccelerators: z.number().min(0).optional(),
});

/** Work that a payload describes. */
export type WorkPlan = Readonly<z.infer<typeof payloadSchema>>;

/** Result of a successful task. */
export interface WorkResult {
  readonly echo: unknown;
  readonly server: string;
  readonly filling?: string;
}

/** Parses a payload; an invalid one means a task with a run time of 0. */
export function parseWorkPlan(payload: unknown): WorkPlan {
  const parsed = payloadSchema.safeParse(payload);
  return parsed.success ? parsed.data : payloadSchema.parse({});
}

/** Run time of `plan` on a server of `speed`, in milliseconds. */
export function computeRunMs(
  plan: WorkPlan,
  speed: number,
  slowFactor: number,
): number {
  return (plan.runMs * slowFactor) / speed;
}

/** The result of `plan` on `server`. */
export function createResult(plan: WorkPlan, server: string): WorkResult {
  const result = {echo: plan.echo ?? null, server};
  if (plan.resultBytes === 0) return result;
  return {...result, filling: 'x'.repeat(plan.resultBytes)};
}
