/** HTTP routes of a guarded worker. */
import {readClock} from '@goldcrestpier/runtime';
import type {z} from 'zod';
import {
  HttpStatus,
  createReply,
  createBadRequestReply,
  createFailedTaskReply,
  ReplyCode,
  ReplyKind,
  ServerState,
  StandinServer,
  type JsonRequest,
  type Reply,
} from '../server/index.js';
import {
  computeRunMs,
  createResult,
  parseWorkPlan,
  type WorkPlan,
} from '../work/index.js';
import {Lease, LeaseState} from './lease.js';
import {
  leaseRequestSchema,
  renewalSchema,
  throttleSchema,
  type LeaseRequest,
  type workerOptionsSchema,
} from './messages.js';
import {
  addResources,
  fits,
  NO_RESOURCES,
  subtractResources,
  UsageRecorder,
  type Resources,
} from './usage.js';

/** How long the state of an ended task can still be read. */
const ENDED_TASK_RETENTION_MS = 60_000;

interface LeasedTask {
  readonly lease: Lease;
  readonly plan: WorkPlan;
  readonly usage: Resources;
  /** When its usage may be reported. */
  readonly reportedAt: number;
}

/** Runs tasks under leases, as long as its resources suffice. */
export class WorkerServer {
  readonly server: StandinServer;
  private readonly tasks = new Map<string, LeasedTask>();
  private readonly usage = new UsageRecorder();
  private inUse = NO_RESOURCES;
  private leaseCount = 0;

  constructor(private readonly options: z.infer<typeof workerOptionsSchema>) {
    this.server = new StandinServer({
      ...options,
      handle: request => this.handle(request),
    });
  }

  /** Stops all tasks. */
  stopAll(): void {
    for (const {lease} of this.tasks.values()) lease.stop();
  }

  private handle(request: JsonRequest): Promise<Reply> | Reply | undefined {
    const {method, path, body} = request;
    const [first, second, id, action] = path;
    switch (`${method} /${[first, second].join('/')}`) {
      case 'POST /v1/leases':
        if (id === undefined) return this.startTask(body);
        return this.controlTask(id, action, body);
      case 'GET /v1/leases':
        return this.readTask(id ?? '', Number(request.query.get('waitMs')));
      case 'GET /v1/usage':
        return createReply(HttpStatus.Ok, this.usage.report(readClock()));
      case 'GET /health':
        return this.createHealthReply();
      default:
        return undefined;
    }
  }

  private createHealthReply(): Reply {
    return createReply(HttpStatus.Ok, {
      state: this.server.state,
      free: this.computeFreeResources(),
    });
  }

  private startTask(body: unknown): Reply {
    const request = leaseRequestSchema.safeParse(body);
    if (!request.success) return createBadRequestReply(request.error.message);
    const {records, faults} = this.server;
    if (this.server.state === ServerState.Leaving) {
      return this.server.refuse(
        HttpStatus.ServiceUnavailable,
        ReplyCode.Leaving,
      );
    }
    if (!fits(request.data, this.computeFreeResources())) {
      return this.server.refuse(HttpStatus.Conflict, ReplyCode.Busy);
    }
    records.recordStart(request.data.job, request.data.task, Date.now());
    if (faults.current.failAll) return createFailedTaskReply();
    const id = this.openLease(request.data);
    if (faults.current.resetAfterStart) return {kind: ReplyKind.Reset};
    return {
      ...createReply(HttpStatus.Created, {lease: id}),
      hasStartedTask: true,
    };
  }

  private openLease(request: LeaseRequest): string {
    const plan = parseWorkPlan(request.payload);
    const usage = computeUsage(request, plan);
    const {slowFactor, lagMs} = this.server.faults.current;
    const reportedAt = readClock() + (lagMs ?? this.options.lagMs);
    const markEnded = this.usage.addTask(plan.kind, usage, reportedAt);
    this.leaseCount += 1;
    const id = `${this.options.name}-${this.leaseCount}`;
    this.inUse = addResources(this.inUse, request);
    const lease = new Lease({
      leaseMs: request.leaseMs,
      runMs: computeRunMs(plan, this.options.speed, slowFactor),
      isFailing: plan.fail,
      onEnd: () => {
        this.inUse = subtractResources(this.inUse, request);
        markEnded();
        setTimeout(
          () => this.tasks.delete(id),
          ENDED_TASK_RETENTION_MS,
        ).unref();
      },
    });
    this.tasks.set(id, {lease, plan, usage, reportedAt});
    return id;
  }

  private controlTask(id: string, action = '', body: unknown): Reply {
    const task = this.tasks.get(id);
    if (task === undefined) return this.createExpiredReply();
    const {lease} = task;
    switch (action) {
      case 'renew':
        return this.renew(lease, body);
      case 'throttle':
        return throttle(lease, body);
      case 'checkpoint':
        return createReply(HttpStatus.Ok, {progress: lease.progress});
      case 'stop':
        lease.stop();
        return createReply(HttpStatus.Ok, {state: lease.state});
      default:
        return createReply(HttpStatus.NotFound, {code: ReplyCode.NotFound});
    }
  }

  private renew(lease: Lease, body: unknown): Reply {
    const renewal = renewalSchema.safeParse(body);
    if (!renewal.success) return createBadRequestReply(renewal.error.message);
    if (lease.state === LeaseState.Expired) return this.createExpiredReply();
    lease.renew(renewal.data.leaseMs);
    return createReply(HttpStatus.Ok, {});
  }

  private async readTask(id: string, waitMs: number): Promise<Reply> {
    const task = this.tasks.get(id);
    if (task === undefined) return this.createExpiredReply();
    if (waitMs > 0) await task.lease.waitForEnd(waitMs);
    return createReply(HttpStatus.Ok, this.describeTask(task));
  }

  private describeTask({lease, plan, usage, reportedAt}: LeasedTask) {
    const reportedUsage = readClock() >= reportedAt ? {usage} : {};
    switch (lease.state) {
      case LeaseState.Done: {
        const result = createResult(plan, this.options.name);
        return {state: lease.state, result, ...reportedUsage};
      }
      case LeaseState.Failed:
        return {
          state: lease.state,
          reason: 'the task failed',
          ...reportedUsage,
        };
      case LeaseState.Running:
      case LeaseState.Stopped:
      case LeaseState.Expired:
        return {state: lease.state, ...reportedUsage};
    }
  }

  private computeFreeResources(): Resources {
    return subtractResources(this.options, this.inUse);
  }

  private createExpiredReply(): Reply {
    return this.server.refuse(HttpStatus.NotFound, ReplyCode.LeaseExpired);
  }
}

function computeUsage(request: LeaseRequest, plan: WorkPlan): Resources {
  return {
    processors: plan.usesProcessors ?? request.processors,
    memoryMb: plan.usesMemoryMb ?? request.memoryMb,
    accelerators: plan.usesAccelerators ?? request.accelerators,
  };
}

function throttle(lease: Lease, body: unknown): Reply {
  const parsed = throttleSchema.safeParse(body);
  if (!parsed.success) return createBadRequestReply(parsed.error.message);
  lease.throttle(parsed.data.share);
  return createReply(HttpStatus.Ok, {});
}
