/**
 * A stand-in for a service's runner: a number of slots, a request and its
 * answer. Every start is written down before the work begins.
 */
import {sleep, type Lifecycle} from '@goldcrestpier/runtime';
import {z} from 'zod';
import {
  HttpStatus,
  reply,
  replyBadRequest,
  ReplyCode,
  ReplyKind,
  StandinServer,
  type Standin,
  type JsonRequest,
  type Reply,
} from '../server/index.js';
import {
  computeRunMs,
  createResult,
  readWorkPlan,
  type WorkPlan,
} from '../work/index.js';

const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTION_LIMIT = 60;

/** What a runner is set up with. */
export const runnerOptionsSchema = z.strictObject({
  name: z.string(),
  port: z.number().int().optional(),
  adminPort: z.number().int().optional(),
  /** Work done per millisecond, against a server of speed 1. */
  speed: z.number().positive().default(1),
  /** Tasks at once. */
  slots: z.number().int().min(1).default(DEFAULT_SLOTS),
  /** Connections at once. */
  connectionLimit: z.number().int().min(1).default(DEFAULT_CONNECTION_LIMIT),
  /** Whether a task stops, and frees its slot, when its client is gone. */
  stopsOnClose: z.boolean().default(false),
});

/** What a runner is set up with; all but the name have defaults. */
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
  return runner.server.describe();
}

class RunnerServer {
  readonly server: StandinServer;
  private inUse = 0;

  constructor(
    private readonly options: z.infer<typeof runnerOptionsSchema>,
    private readonly closing: AbortSignal,
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
        return this.answerHealth();
      default:
        return undefined;
    }
  }

  private answerHealth(): Reply {
    return reply(HttpStatus.Ok, {
      state: this.server.faults.current.leaving ? 'leaving' : 'live',
      slots: this.options.slots,
      inUse: this.inUse,
    });
  }

  private startTask({body, over}: JsonRequest): Promise<Reply> | Reply {
    const task = taskSchema.safeParse(body);
    if (!task.success) return replyBadRequest(task.error.message);
    if (this.server.faults.current.leaving) {
      return this.refuse(HttpStatus.Unavailable, ReplyCode.Leaving);
    }
    if (this.inUse >= this.options.slots) {
      return this.refuse(HttpStatus.TooManyRequests, ReplyCode.Busy);
    }
    const {records, faults} = this.server;
    records.addStart(task.data.job, task.data.task, Date.now());
    const plan = readWorkPlan(task.data.payload);
    if (faults.current.resetAfterStart) {
      void this.work(plan, this.closing);
      return {kind: ReplyKind.Reset};
    }
    return this.work(plan, this.options.stopsOnClose ? over : this.closing);
  }

  private refuse(status: HttpStatus, code: ReplyCode): Reply {
    this.server.records.addRefusal(code);
    return reply(status, {code});
  }

  private async work(plan: WorkPlan, stopped: AbortSignal): Promise<Reply> {
    const {failAll, slowFactor} = this.server.faults.current;
    this.inUse += 1;
    if (!failAll) {
      const runMs = computeRunMs(plan, this.options.speed, slowFactor);
      await sleep(runMs, stopped);
    }
    await this.server.faults.thawed();
    this.inUse -= 1;
    if (failAll || plan.fail) return replyFailed();
    const result = createResult(plan, this.options.name);
    return {...reply(HttpStatus.Ok, {result}), started: true};
  }
}

function replyFailed(): Reply {
  const body = {code: ReplyCode.Failed, reason: 'the task failed'};
  return {...reply(HttpStatus.Failed, body), started: true};
}
