/**
 * Stand-in for a runner. Each request runs one task in a slot and the response
 * has its result. A start is recorded before the simulated work begins.
 */
import {sleep, type Lifecycle} from '@goldcrestpier/runtime';
import {z} from 'zod';
import {
  HttpStatus,
  createReply,
  createBadRequestReply,
  createFailedTaskReply,
  ReplyCode,
  ReplyKind,
  ServerState,
  StandinServer,
  type Standin,
  type JsonRequest,
  type Reply,
} from '../server/index.js';
import {
  computeRunMs,
  createResult,
  parseWorkPlan,
  type WorkPlan,
} from '../work/index.js';

const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTION_LIMIT = 60;

/** Schema of `RunnerOptions`. */
export const runnerOptionsSchema = z.strictObject({
  name: z.string(),
  port: z.number().int().optional(),
  adminPort: z.number().int().optional(),
  /** Speed factor: 2 runs a task in half its `runMs`. */
  speed: z.number().positive().default(1),
  /** Maximum number of concurrent tasks. */
  slots: z.number().int().min(1).default(DEFAULT_SLOTS),
  /** Maximum number of open connections. */
  connectionLimit: z.number().int().min(1).default(DEFAULT_CONNECTION_LIMIT),
  /** Whether a task stops and frees its slot when its client disconnects. */
  stopsOnClose: z.boolean().default(false),
});

/** Options of `startRunner`. */
export type RunnerOptions = Readonly<z.input<typeof runnerOptionsSchema>>;

const taskSchema = z.object({
  job: z.string(),
  task: z.string(),
  payload: z.unknown().optional(),
});

/** Starts a runner that listens until `lifecycle` closes. */
export async function startRunner(
  options: RunnerOptions,
  lifecycle: Lifecycle,
): Promise<Standin> {
  const runner = new RunnerServer(
    runnerOptionsSchema.parse(options),
    lifecycle.signal,
  );
  await runner.server.listen(lifecycle);
  return runner.server.toStandin();
}

class RunnerServer {
  readonly server: StandinServer;
  private inUse = 0;

  constructor(
    private readonly options: z.infer<typeof runnerOptionsSchema>,
    private readonly closeSignal: AbortSignal,
  ) {
    this.server = new StandinServer({
      ...options,
      handle: request => this.handle(request),
    });
  }

  private handle(request: JsonRequest): Promise<Reply> | Reply | undefined {
    switch (`${request.method} /${request.path.join('/')}`) {
      case 'POST /v1/tasks':
        return this.startTask(request);
      case 'GET /health':
        return this.createHealthReply();
      default:
        return undefined;
    }
  }

  private createHealthReply(): Reply {
    return createReply(HttpStatus.Ok, {
      state: this.server.state,
      slots: this.options.slots,
      inUse: this.inUse,
    });
  }

  private startTask({
    body,
    closeSignal: clientSignal,
  }: JsonRequest): Promise<Reply> | Reply {
    const task = taskSchema.safeParse(body);
    if (!task.success) return createBadRequestReply(task.error.message);
    if (this.server.state === ServerState.Leaving) {
      return this.server.refuse(
        HttpStatus.ServiceUnavailable,
        ReplyCode.Leaving,
      );
    }
    if (this.inUse >= this.options.slots) {
      return this.server.refuse(HttpStatus.TooManyRequests, ReplyCode.Busy);
    }
    const {records, faults} = this.server;
    records.recordStart(task.data.job, task.data.task, Date.now());
    const plan = parseWorkPlan(task.data.payload);
    if (faults.current.resetAfterStart) {
      void this.runTask(plan, this.closeSignal);
      return {kind: ReplyKind.Reset};
    }
    return this.runTask(
      plan,
      this.options.stopsOnClose ? clientSignal : this.closeSignal,
    );
  }

  private async runTask(
    plan: WorkPlan,
    stopSignal: AbortSignal,
  ): Promise<Reply> {
    const {failAll, slowFactor} = this.server.faults.current;
    this.inUse += 1;
    if (!failAll) {
      const runMs = computeRunMs(plan, this.options.speed, slowFactor);
      await sleep(runMs, stopSignal);
    }
    await this.server.faults.waitWhileFrozen();
    this.inUse -= 1;
    if (failAll || plan.fail) return createFailedTaskReply();
    const result = createResult(plan, this.options.name);
    return {...createReply(HttpStatus.Ok, {result}), hasStartedTask: true};
  }
}
