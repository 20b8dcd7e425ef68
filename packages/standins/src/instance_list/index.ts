/**
 * Stand-in for the platform's instance list, in the JSON format of Prometheus
 * HTTP service discovery. Changes become visible after a configurable delay.
 */
import type {Lifecycle} from '@goldcrestpier/runtime';
import {z} from 'zod';
import {
  HttpStatus,
  createReply,
  createBadRequestReply,
  ReplyCode,
  StandinServer,
  type Standin,
  type JsonRequest,
  type Reply,
} from '../server/index.js';

/** Schema of `InstanceListOptions`. */
export const instanceListOptionsSchema = z.strictObject({
  name: z.string().default('instance-list'),
  port: z.number().int().optional(),
  adminPort: z.number().int().optional(),
  /** Delay until a change becomes visible, in milliseconds. */
  lagMs: z.number().min(0).default(0),
});

/** Options of `startInstanceList`. */
export type InstanceListOptions = Readonly<
  z.input<typeof instanceListOptionsSchema>
>;

/** Role of a listed instance. */
export enum InstanceRole {
  Entry = 'entry',
  Runner = 'runner',
  Worker = 'worker',
}

/** Whether a listed instance accepts new work. */
export enum InstanceState {
  Live = 'live',
  Leaving = 'leaving',
}

const targetSchema = z.strictObject({
  targets: z.array(z.string()).min(1),
  labels: z
    .object({
      role: z.enum(InstanceRole),
      name: z.string(),
      zone: z.string(),
      state: z.enum(InstanceState),
    })
    .catchall(z.string()),
});

/** A listed instance; additional labels depend on its role. */
export type InstanceTarget = Readonly<z.infer<typeof targetSchema>>;

/** A running instance list. */
export interface InstanceList extends Standin {
  /** URL of the list. */
  readonly url: string;
  /** Adds or replaces an instance; visible after the delay. */
  put(target: InstanceTarget): void;
  /** Removes an instance; visible after the delay. */
  remove(name: string): void;
}

/** Starts an instance list that listens until `lifecycle` closes. */
export async function startInstanceList(
  options: InstanceListOptions,
  lifecycle: Lifecycle,
): Promise<InstanceList> {
  const list = new InstanceListServer(
    instanceListOptionsSchema.parse(options),
    lifecycle,
  );
  await list.server.listen(lifecycle);
  return {
    ...list.server.toStandin(),
    url: `http://${list.server.address}/targets`,
    put: target => list.scheduleChange(target.labels.name, target),
    remove: name => list.scheduleChange(name, undefined),
  };
}

class InstanceListServer {
  readonly server: StandinServer;
  private readonly visibleTargets = new Map<string, InstanceTarget>();
  private readonly pendingTimers = new Set<NodeJS.Timeout>();

  constructor(
    private readonly options: z.infer<typeof instanceListOptionsSchema>,
    lifecycle: Lifecycle,
  ) {
    this.server = new StandinServer({
      ...options,
      handle: request => this.handle(request),
      handleAdmin: request => this.handleAdmin(request),
    });
    lifecycle.own('pending changes', () => this.cancelPendingChanges());
  }

  /** Sets `name` to `target`, or removes it if undefined, after the delay. */
  scheduleChange(name: string, target: InstanceTarget | undefined): void {
    const lagMs = this.server.faults.current.lagMs ?? this.options.lagMs;
    if (lagMs === 0) return this.applyChange(name, target);
    const timer = setTimeout(() => {
      this.pendingTimers.delete(timer);
      this.applyChange(name, target);
    }, lagMs);
    this.pendingTimers.add(timer);
  }

  private applyChange(name: string, target: InstanceTarget | undefined): void {
    if (target === undefined) this.visibleTargets.delete(name);
    else this.visibleTargets.set(name, target);
  }

  private handle({method, path}: JsonRequest): Reply | undefined {
    if (method !== 'GET' || path.join('/') !== 'targets') return undefined;
    if (this.server.faults.current.listOut) {
      return this.server.refuse(
        HttpStatus.ServiceUnavailable,
        ReplyCode.Unavailable,
      );
    }
    return createReply(HttpStatus.Ok, [...this.visibleTargets.values()]);
  }

  private handleAdmin({method, path, body}: JsonRequest): Reply | undefined {
    const [, collection, name] = path;
    if (collection !== 'targets') return undefined;
    if (name === undefined)
      return createReply(HttpStatus.Ok, [...this.visibleTargets.values()]);
    switch (method) {
      case 'PUT':
        return this.putTarget(name, body);
      case 'DELETE':
        this.scheduleChange(name, undefined);
        return createReply(HttpStatus.Ok, {});
      default:
        return undefined;
    }
  }

  private putTarget(name: string, body: unknown): Reply {
    const target = targetSchema.safeParse(body);
    if (!target.success) return createBadRequestReply(target.error.message);
    this.scheduleChange(name, target.data);
    return createReply(HttpStatus.Ok, {});
  }

  private cancelPendingChanges(): void {
    for (const timer of this.pendingTimers) clearTimeout(timer);
  }
}
