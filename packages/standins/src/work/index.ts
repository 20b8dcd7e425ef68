/** The pretended work of a task, as its payload describes it. */
import {z} from 'zod';

const DEFAULT_KIND = 'task';

const payloadSchema = z.object({
  /** Kind of task, by which its use is reported. */
  kind: z.string().default(DEFAULT_KIND),
  /** Time the work takes on a server of speed 1, in milliseconds. */
  runMs: z.number().min(0).default(0),
  /** Comes back in the result. */
  echo: z.unknown().optional(),
  /** Whether the task fails when its time is over. */
  fail: z.boolean().default(false),
  /** Size of the filling in the result. */
  resultBytes: z.number().int().min(0).default(0),
  /** Real use, where it differs from what was declared. */
  usesProcessors: z.number().min(0).optional(),
  usesMemoryMb: z.number().min(0).optional(),
  usesAccelerators: z.number().min(0).optional(),
});

/** What a payload asks of the pretended work. */
export type WorkPlan = Readonly<z.infer<typeof payloadSchema>>;

/** The result of a task that ended well. */
export interface WorkResult {
  readonly echo: unknown;
  readonly server: string;
  readonly filling?: string;
}

/** Reads a payload; one that says nothing of use is work without length. */
export function readWorkPlan(payload: unknown): WorkPlan {
  const plan = payloadSchema.safeParse(payload);
  return plan.success ? plan.data : payloadSchema.parse({});
}

/** How long `plan` takes on a server of `speed`, in milliseconds. */
export function computeRunMs(
  plan: WorkPlan,
  speed: number,
  slowFactor: number,
): number {
  return (plan.runMs * slowFactor) / speed;
}

/** The result that `plan` asks for. */
export function createResult(plan: WorkPlan, server: string): WorkResult {
  const result = {echo: plan.echo ?? null, server};
  if (plan.resultBytes === 0) return result;
  return {...result, filling: 'x'.repeat(plan.resultBytes)};
}
