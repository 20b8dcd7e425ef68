/**
 * Parses the targets of HTTP service discovery into backend servers and entry
 * instances.
 */
import {BackendKind, nameSchema} from '@goldcrestpier/protocol';
import {z} from 'zod';
import {ServerState, type Server} from '../servers.js';

/** One entry instance of the instance list. */
export interface ListedEntry {
  readonly name: string;
  readonly zone: string;
  readonly state: ServerState;
  /** `host:port` of its listener for callers. */
  readonly address: string;
  /** `host:port` of its listener for peers. */
  readonly peerAddress: string;
  /** `zone.instance.nonce`; undefined if the platform does not know it. */
  readonly incarnation: string | undefined;
}

/** The instance list: backend servers and entry instances. */
export interface InstanceList {
  readonly servers: readonly Server[];
  readonly entries: readonly ListedEntry[];
}

/** A target that was skipped, and why. */
export interface SkippedTarget {
  /** Its name, or its position in the list if it has no valid name. */
  readonly target: string;
  readonly reason: string;
}

/** The valid part of a list, and the targets that were skipped. */
export interface ParsedList {
  readonly list: InstanceList;
  readonly skipped: readonly SkippedTarget[];
}

enum Role {
  Entry = 'entry',
  Runner = 'runner',
  Worker = 'worker',
}

const MAX_AMOUNT = 1_000_000_000;

const ADDRESS_PATTERN =
  /^(?:\[[0-9a-fA-F:.]+\]|[0-9A-Za-z_][0-9A-Za-z._-]*):(?<port>[0-9]{1,5})$/;

const addressSchema = z
  .string()
  .refine(isReachableAddress, 'expected host:port');
const amountSchema = z
  .string()
  .regex(/^[0-9]+(?:\.[0-9]+)?$/, 'expected a number')
  .transform(Number)
  .pipe(z.number().max(MAX_AMOUNT, 'expected a smaller number'));
const integerSchema = amountSchema.pipe(
  z.number().int('expected a whole number'),
);

const commonLabels = {
  name: nameSchema,
  zone: nameSchema,
  state: z.enum(ServerState, 'expected live or leaving'),
};
const entryLabelsSchema = z.object({
  ...commonLabels,
  role: z.literal(Role.Entry),
  peer_address: addressSchema,
  incarnation: z.string().optional(),
});
const runnerLabelsSchema = z.object({
  ...commonLabels,
  role: z.literal(Role.Runner),
  service: nameSchema,
  slots: integerSchema.pipe(z.number().min(1, 'expected 1 or more')),
  rack: z.string().optional(),
});
const workerLabelsSchema = z.object({
  ...commonLabels,
  role: z.literal(Role.Worker),
  processors: amountSchema,
  memory_mb: amountSchema,
  accelerators: integerSchema.default(0),
  rack: z.string().optional(),
});

const targetSchema = z.object({
  targets: z.tuple([addressSchema], 'expected one address'),
  labels: z.discriminatedUnion('role', [
    entryLabelsSchema,
    runnerLabelsSchema,
    workerLabelsSchema,
  ]),
});

function isReachableAddress(address: string): boolean {
  const port = ADDRESS_PATTERN.exec(address)?.groups?.['port'];
  // The URL's own rules reject a port above 65535 and an invalid IP address.
  return Number(port) > 0 && URL.canParse(`http://${address}/`);
}

type Target = z.infer<typeof targetSchema>;

/** Parses a list without its malformed targets; undefined if it is no array. */
export function parseInstanceList(document: unknown): ParsedList | undefined {
  if (!Array.isArray(document)) return undefined;
  const servers: Server[] = [];
  const entries: ListedEntry[] = [];
  const skipped: SkippedTarget[] = [];
  const names = new Set<string>();
  for (const [index, candidate] of document.entries()) {
    const parsed = targetSchema.safeParse(candidate);
    if (!parsed.success) {
      skipped.push(describeSkipped(candidate, index, parsed.error));
      continue;
    }
    const {name} = parsed.data.labels;
    if (names.has(name)) {
      skipped.push({
        target: name,
        reason: 'name: already used by an earlier target',
      });
      continue;
    }
    names.add(name);
    const item = toListItem(parsed.data);
    if (isServer(item)) servers.push(item);
    else entries.push(item);
  }
  return {list: {servers, entries}, skipped};
}

function toListItem({
  targets: [address],
  labels,
}: Target): Server | ListedEntry {
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
  const namedTargetSchema = z.object({labels: z.object({name: nameSchema})});
  const name = namedTargetSchema.safeParse(target).data?.labels.name;
  const [issue] = error.issues;
  const path = issue?.path.join('.') ?? '';
  return {
    target: name ?? `number ${index + 1}`,
    reason: `${path}: ${issue?.message ?? 'not a target'}`,
  };
}
