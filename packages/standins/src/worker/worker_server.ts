/** The routes of a guarded worker. */
import {readClock} from '@goldcrestpier/runtime';
import type {z} from 'zod';
import {
  HttpStatus,
  reply,
  replyBadRequest,
  ReplyCode,
  ReplyKind,
  StandinServer,
  type JsonRequest,
  type Reply,
} from '../server/index.js';
import {
  computeRunMs,
  createResult,
  readWorkPlan,
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
  UsageLog,
  type Resources,
} from './usage.js';

/** How long an ended task can still be asked for. */
const ENDED_KEPT_MS = 60_000;

interface LeasedTask {
  readonly lease: Lease;
  readonly plan: WorkPlan;
  readonly usage: Resources;
  /** When its use is known. */
  readonly knownAt: number;
}

/** A guarded worker: tasks under leases, within what it has. */
export class WorkerServer {
  readonly server: StandinServer;
  private readonly tasks = new Map<string, LeasedTask>();
  private readonly usage = new UsageLog();
  private inUse = NO_RESOURCES;
  private leases = 0;

  constructor(private readonly options: z.infer<typeof workerOptionsSchema>) {
    this.server = new StandinServer({
      ...options,
      handle: request => this.handle(request),
    });
  }

  /** Stops every task. */
  stopAll(): void {
    for (const {lease} of this.tasks.values()) lease.stop();
  }

  private handle(request: JsonRequest): Promise<Reply> | Reply | undefined {
    const {method, path, body} = request;
    const [first, second, id, action] = path;
    switch (`${method} /${[first, second].join('/')}`) {
      case 'POST /v1/leases':
        if (id === undefined) return this.startTask(body);
        return this.changeTask(id, action, body);
      case 'GET /v1/leases':
        return this.readTask(id ?? '', Number(request.query.get('waitMs')));
      case 'GET /v1/usage':
        return reply(HttpStatus.Ok, this.usage.report(readClock()));
      case 'GET /health':
        return this.answerHealth();
      default:
        return undefined;
    }
  }

  private answerHealth(): Reply {
    return reply(HttpStatus.Ok, {
      state: this.server.faults.current.leaving ? 'leaving' : 'live',
      free: this.computeFree(),
    });
  }

  private startTask(body: unknown): Reply {
    const request = leaseRequestSchema.safeParse(body);
    if (!request.success) return replyBadRequest(request.error.message);
    const {records, faults} = this.server;
    if (faults.current.leaving) {
      return this.refuse(HttpStatus.Unavailable, ReplyCode.Leaving);
    }
    if (!fits(request.data, this.computeFree())) {
      return this.refuse(HttpStatus.Conflict, ReplyCode.Busy);
    }
    records.addStart(request.data.job, request.data.task, Date.now());
    if (faults.current.failAll) return replyFailed();
    const id = this.openLease(request.data);
    if (faults.current.resetAfterStart) return {kind: ReplyKind.Reset};
    return {...reply(HttpStatus.Created, {lease: id}), started: true};
  }

  private openLease(request: LeaseRequest): string {
    const plan = readWorkPlan(request.payload);
    const usage = computeUsage(request, plan);
    const {slowFactor, lagMs} = this.server.faults.current;
    const knownAt = readClock() + (lagMs ?? this.options.lagMs);
    const endUsage = this.usage.add(plan.kind, usage, knownAt);
    this.leases += 1;
    const id = `${this.options.name}-${this.leases}`;
    this.inUse = addResources(this.inUse, request);
    const lease = new Lease({
      leaseMs: request.leaseMs,
      runMs: computeRunMs(plan, this.options.speed, slowFactor),
      fails: plan.fail,
      onEnd: () => {
        this.inUse = subtractResources(this.inUse, request);
        endUsage();
        setTimeout(() => this.tasks.delete(id), ENDED_KEPT_MS).unref();
      },
    });
    this.tasks.set(id, {lease, plan, usage, knownAt});
    return id;
  }

  private changeTask(id: string, action = '', body: unknown): Reply {
    const task = this.tasks.get(id);
    if (task === undefined) return this.replyLapsed();
    const {lease} = task;
    switch (action) {
      case 'renew':
        return this.renew(lease, body);
      case 'throttle':
        return throttle(lease, body);
      case 'checkpoint':
        return reply(HttpStatus.Ok, {progress: lease.progress});
      case 'stop':
        lease.stop();
        return reply(HttpStatus.Ok, {state: lease.state});
      default:
        return reply(HttpStatus.NotFound, {code: ReplyCode.NotFound});
    }
  }

  private renew(lease: Lease, body: unknown): Reply {
    const renewal = renewalSchema.safeParse(body);
    if (!renewal.success) return replyBadRequest(renewal.error.message);
    if (lease.state === LeaseState.Lapsed) return this.replyLapsed();
    lease.renew(renewal.data.leaseMs);
    return reply(HttpStatus.Ok, {});
  }

  private async readTask(id: string, waitMs: number): Promise<Reply> {
    const task = this.tasks.get(id);
    if (task === undefined) return this.replyLapsed();
    if (waitMs > 0) await task.lease.waitForEnd(waitMs);
    return reply(HttpStatus.Ok, this.describeTask(task));
  }

  private describeTask({lease, plan, usage, knownAt}: LeasedTask) {
    const known = readClock() >= knownAt ? {usage} : {};
    switch (lease.state) {
      case LeaseState.Done: {
        const result = createResult(plan, this.options.name);
        return {state: lease.state, result, ...known};
      }
      case LeaseState.Failed:
        return {state: lease.state, reason: 'the task failed', ...known};
      case LeaseState.Running:
      case LeaseState.Stopped:
      case LeaseState.Lapsed:
        return {state: lease.state, ...known};
    }
  }

  private computeFree(): Resources {
    return subtractResources(this.options, this.inUse);
  }

  private refuse(status: HttpStatus, code: ReplyCode): Reply {
    this.server.records.addRefusal(code);
    return reply(status, {code});
  }

  private replyLapsed(): Reply {
    return this.refuse(HttpStatus.NotFound, ReplyCode.Lapsed);
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
  const asked = throttleSchema.safeParse(body);
  if (!asked.success) return replyBadRequest(asked.error.message);
  lease.throttle(asked.data.share);
  return reply(HttpStatus.Ok, {});
}

function replyFailed(): Reply {
  const body = {code: ReplyCode.Failed, reason: 'the task failed'};
  return {...reply(HttpStatus.Failed, body), started: true};
}
