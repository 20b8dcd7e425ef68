/**
 * A stand-in for the platform's instance list, in the JSON form of
 * Prometheus's HTTP service discovery. Changes show only after a lag.
 */
import type {Lifecycle} from '@goldcrestpier/runtime';
import {z} from 'zod';
import {
  HttpStatus,
  reply,
  replyBadRequest,
  ReplyCode,
  StandinServer,
  type Standin,
  type JsonRequest,
  type Reply,
} from '../server/index.js';

/** What an instance list is set up with. */
export const instanceListOptionsSchema = z.strictObject({
  name: z.string().default('instance-list'),
  port: z.number().int().optional(),
  adminPort: z.number().int().optional(),
  /** How long a change takes to show, in milliseconds. */
  lagMs: z.number().min(0).default(0),
});

/** What an instance list is set up with; everything has a default. */
export type InstanceListOptions = Readonly<
  z.input<typeof instanceListOptionsSchema>
>;

/** What an instance in the list is for. */
export enum InstanceRole {
  Entry = 'entry',
  Runner = 'runner',
  Worker = 'worker',
}

/** Whether an instance in the list takes new work. */
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

/** One instance of the list; further labels depend on its role. */
export type InstanceTarget = Readonly<z.infer<typeof targetSchema>>;

/** A running instance list. */
export interface InstanceList extends Standin {
  /** Where the list is read. */
  readonly url: string;
  /** Adds or changes an instance; shows after the lag. */
  put(target: InstanceTarget): void;
  /** Takes an instance out; shows after the lag. */
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
    ...list.server.describe(),
    url: `http://${list.server.address}/targets`,
    put: target => list.change(target.labels.name, target),
    remove: name => list.change(name, undefined),
  };
}

class InstanceListServer {
  readonly server: StandinServer;
  private readonly shown = new Map<string, InstanceTarget>();
  private readonly pending = new Set<NodeJS.Timeout>();

  constructor(
    private readonly options: z.infer<typeof instanceListOptionsSchema>,
    lifecycle: Lifecycle,
  ) {
    this.server = new StandinServer({
      ...options,
      handle: request => this.handle(request),
      handleAdmin: request => this.handleAdmin(request),
    });
    lifecycle.own('pending changes', () => this.dropPending());
  }

  /** Shows `target` under `name`, or nothing, once the lag is over. */
  change(name: string, target: InstanceTarget | undefined): void {
    const lagMs = this.server.faults.current.lagMs ?? this.options.lagMs;
    if (lagMs === 0) return this.show(name, target);
    const timer = setTimeout(() => {
      this.pending.delete(timer);
      this.show(name, target);
    }, lagMs);
    this.pending.add(timer);
  }

  private show(name: string, target: InstanceTarget | undefined): void {
    if (target === undefined) this.shown.delete(name);
    else this.shown.set(name, target);
  }

  private handle({method, path}: JsonRequest): Reply | undefined {
    if (method !== 'GET' || path.join('/') !== 'targets') return undefined;
    if (this.server.faults.current.listOut) {
      this.server.records.addRefusal(ReplyCode.Out);
      return reply(HttpStatus.Unavailable, {code: ReplyCode.Out});
    }
    return reply(HttpStatus.Ok, [...this.shown.values()]);
  }

  private handleAdmin({method, path, body}: JsonRequest): Reply | undefined {
    const [, collection, name] = path;
    if (collection !== 'targets') return undefined;
    if (name === undefined)
      return reply(HttpStatus.Ok, [...this.shown.values()]);
    switch (method) {
      case 'PUT':
        return this.putTarget(name, body);
      case 'DELETE':
        this.change(name, undefined);
        return reply(HttpStatus.Ok, {});
      default:
        return undefined;
    }
  }

  private putTarget(name: string, body: unknown): Reply {
    const target = targetSchema.safeParse(body);
    if (!target.success) return replyBadRequest(target.error.message);
    this.change(name, target.data);
    return reply(HttpStatus.Ok, {});
  }

  private dropPending(): void {
    for (const timer of this.pending) clearTimeout(timer);
  }
}
