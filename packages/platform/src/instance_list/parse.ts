/** Turns the targets of HTTP service discovery into servers and entries. */
import {BackendKind, nameSchema} from '@goldcrestpier/protocol';
import {z} from 'zod';
import {ServerState, type Server} from '../servers.js';

/** One entry instance of the instance list. */
export interface ListedEntry {
  readonly name: string;
  readonly zone: string;
  readonly state: ServerState;
  /** `host:port` of its callers' listener. */
  readonly address: string;
  /** `host:port` of its peers' listener. */
  readonly peerAddress: string;
  /** `zone.instance.nonce`, where the platform knows it. */
  readonly incarnation: string | undefined;
}

/** The instance list: backend servers and entry instances. */
export interface InstanceList {
  readonly servers: readonly Server[];
  readonly entries: readonly ListedEntry[];
}

/** A target that was left out, and why. */
export interface SkippedTarget {
  /** Its name, or its place in the list. */
  readonly target: string;
  readonly reason: string;
}

/** What could be read of a list. */
export interface ParsedList {
  readonly list: InstanceList;
  readonly skipped: readonly SkippedTarget[];
}

enum Role {
  Entry = 'entry',
  Runner = 'runner',
  Worker = 'worker',
}

const LARGEST_AMOUNT = 1_000_000_000;

const address = z
  .string()
  .regex(
    /^(?:\[[0-9a-fA-F:.]+\]|[^\s:[\]/]+):[0-9]{1,5}$/,
    'expected host:port',
  );
const amount = z
  .string()
  .regex(/^[0-9]+(?:\.[0-9]+)?$/, 'expected a number')
  .transform(Number)
  .pipe(z.number().max(LARGEST_AMOUNT, 'expected a smaller number'));
const wholeAmount = amount.pipe(z.number().int('expected a whole number'));

const common = {
  name: nameSchema,
  zone: nameSchema,
  state: z.enum(ServerState, 'expected live or leaving'),
};
const entryLabels = z.object({
  ...common,
  role: z.literal(Role.Entry),
  peer_address: address,
  incarnation: z.string().optional(),
});
const runnerLabels = z.object({
  ...common,
  role: z.literal(Role.Runner),
  service: nameSchema,
  slots: wholeAmount.pipe(z.number().min(1, 'expected 1 or more')),
  rack: z.string().optional(),
});
const workerLabels = z.object({
  ...common,
  role: z.literal(Role.Worker),
  processors: amount,
  memory_mb: amount,
  accelerators: wholeAmount.default(0),
  rack: z.string().optional(),
});

const targetSchema = z.object({
  targets: z.tuple([address], 'expected one address'),
  labels: z.discriminatedUnion('role', [
    entryLabels,
    runnerLabels,
    workerLabels,
  ]),
});

type Target = z.infer<typeof targetSchema>;

/** Reads a list; undefined when it is no list at all. */
export function parseInstanceList(document: unknown): ParsedList | undefined {
  if (!Array.isArray(document)) return undefined;
  const servers: Server[] = [];
  const entries: ListedEntry[] = [];
  const skipped: SkippedTarget[] = [];
  const names = new Set<string>();
  for (const [index, each] of document.entries()) {
    const parsed = targetSchema.safeParse(each);
    if (!parsed.success) {
      skipped.push(describeSkipped(each, index, parsed.error));
      continue;
    }
    const {name} = parsed.data.labels;
    if (names.has(name)) {
      skipped.push({target: name, reason: 'name: a target before it has it'});
      continue;
    }
    names.add(name);
    const item = toItem(parsed.data);
    if (isServer(item)) servers.push(item);
    else entries.push(item);
  }
  return {list: {servers, entries}, skipped};
}

function toItem({targets: [address], labels}: Target): Server | ListedEntry {
  switch (labels.role) {
    case Role.Entry:
      return {
        name: labels.name,
        zone: labels.zone,
        state: labels.state,
        address,
        peerAddress: labels.peer_address,
        incarnation: labels.incarnation,
      };
    case Role.Runner:
      return {
        name: labels.name,
        kind: BackendKind.Runner,
        zone: labels.zone,
        pool: `${BackendKind.Runner}/${labels.service}`,
        address,
        state: labels.state,
        slots: labels.slots,
        processors: 0,
        memoryMb: 0,
        accelerators: 0,
        rack: labels.rack,
      };
    case Role.Worker:
      return {
        name: labels.name,
        kind: BackendKind.Worker,
        zone: labels.zone,
        pool: BackendKind.Worker,
        address,
        state: labels.state,
        slots: 0,
        processors: labels.processors,
        memoryMb: labels.memory_mb,
        accelerators: labels.accelerators,
        rack: labels.rack,
      };
  }
}

function isServer(item: Server | ListedEntry): item is Server {
  return 'pool' in item;
}

function describeSkipped(
  target: unknown,
  index: number,
  error: z.ZodError,
): SkippedTarget {
  const named = z.object({labels: z.object({name: nameSchema})});
  const name = named.safeParse(target).data?.labels.name;
  const [issue] = error.issues;
  const path = issue?.path.join('.') ?? '';
  return {
    target: name ?? `number ${index + 1}`,
    reason: `${path}: ${issue?.message ?? 'not a target'}`,
  };
}
