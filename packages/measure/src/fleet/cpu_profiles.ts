/** Sums the time in V8 CPU profiles by kind of work. */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

const MICROS_PER_SECOND = 1_000_000;
/** Position of the process ID in the name of a profile, split at its dots. */
const PROCESS_ID_FIELD = 3;

/** Processor time of one kind of work. */
export interface WorkTime {
  readonly work: string;
  readonly seconds: number;
}

interface ProfileNode {
  readonly id: number;
  readonly callFrame: {readonly functionName: string; readonly url: string};
  readonly children?: readonly number[];
}

interface CpuProfile {
  readonly nodes: readonly ProfileNode[];
  readonly samples: readonly number[];
  readonly timeDeltas: readonly number[];
}

interface WorkRule {
  readonly work: string;
  /** Part of the file path of frames that belong to this kind of work. */
  readonly path: string;
}

/**
 * The innermost frame that matches a rule decides; the first matching rule
 * wins.
 */
const RULES: readonly WorkRule[] = [
  {work: 'log lines', path: '/runtime/dist/src/logger'},
  {work: 'log lines', path: '/holder/observer'},
  {work: 'log lines', path: '/bunyan/'},
  {work: 'metrics', path: '/prom-client/'},
  {work: 'metrics', path: '/zone/dist/src/metrics'},
  {work: 'dispatch decisions', path: '/packages/dispatch/'},
  {work: 'dispatch decisions', path: '/zone/dist/src/holder/holder.js'},
  {work: 'holder, other', path: '/zone/dist/src/holder/'},
  {work: 'owner', path: '/zone/dist/src/owner/'},
  {work: 'heartbeats', path: '/zone/dist/src/instance/own_heartbeat'},
  {work: 'heartbeats', path: '/zone/dist/src/instance/links'},
  {work: 'role updates', path: '/zone/dist/src/instance/'},
  {work: 'role updates', path: '/zone/dist/src/election/'},
  {work: 'peer calls', path: '/zone/dist/src/protocol/'},
  {work: 'peer calls', path: '/packages/peers/'},
  {work: 'worker commands and polls', path: '/platform/dist/src/workers/'},
  {work: 'store', path: '/platform/dist/src/store/'},
  {work: 'store', path: '/platform/dist/src/directory/'},
  {work: 'callers', path: '/platform/dist/src/callers/'},
  {
    work: 'readiness and metrics endpoints',
    path: '/platform/dist/src/process/',
  },
  {work: 'HTTP client', path: '/platform/dist/src/exchange/'},
];

/**
 * Applied when no frame of a call stack matches, as for calls from the event
 * loop.
 */
const LIBRARY_RULES: readonly WorkRule[] = [
  {work: 'loading code', path: 'node:internal/modules'},
  {work: 'peer calls', path: '/@trpc/'},
  {work: 'peer calls', path: '/ws/'},
  {work: 'HTTP client', path: '/undici/'},
  {work: 'HTTP server', path: 'node:_http'},
  {work: 'timers', path: 'node:internal/timers'},
  {work: 'sockets', path: 'node:net'},
  {work: 'sockets', path: 'node:internal/stream'},
];

/**
 * Sums the profiles of a folder by group of processes and kind of work, longest
 * time first; `groupOf` names the group of a process ID.
 */
export function sumProfilesByWork<Group extends string>(
  folder: string,
  groupOf: (processId: number) => Group | undefined,
): Map<Group, WorkTime[]> {
  const sums = new Map<Group, Map<string, number>>();
  for (const file of readdirSync(folder)) {
    const group = groupOf(readProcessId(file));
    if (group === undefined) continue;
    const seconds = sums.get(group) ?? new Map<string, number>();
    sums.set(group, seconds);
    const text = readFileSync(join(folder, file), 'utf8');
    addProfile(JSON.parse(text) as CpuProfile, seconds);
  }
  return new Map(
    [...sums].map(([group, seconds]) => [group, sortWorks(seconds)]),
  );
}

/** The process ID in a name such as `CPU.20260101.120000.4711.0.001.cpuprofile`. */
function readProcessId(file: string): number {
  return Number(file.split('.')[PROCESS_ID_FIELD]);
}

function sortWorks(seconds: ReadonlyMap<string, number>): WorkTime[] {
  return [...seconds]
    .map(([work, each]) => ({work, seconds: each}))
    .sort((one, other) => other.seconds - one.seconds);
}

/** Adds the samples of one profile, in seconds by kind of work. */
export function addProfile(
  {nodes, samples, timeDeltas}: CpuProfile,
  seconds: Map<string, number>,
): void {
  const works = findWorkByNode(nodes);
  samples.forEach((id, index) => {
    const work = works.get(id);
    if (work === undefined) return;
    // A delta is the time since the previous sample, so the next delta is the
    // time that this sample stands for.
    const micros = timeDeltas[index + 1] ?? 0;
    const sum = (seconds.get(work) ?? 0) + micros / MICROS_PER_SECOND;
    seconds.set(work, sum);
  });
}

/** Finds the kind of work of each node of a call tree; idle nodes have none. */
function findWorkByNode(nodes: readonly ProfileNode[]): Map<number, string> {
  const parents = new Map<number, ProfileNode>();
  for (const node of nodes) {
    for (const child of node.children ?? []) parents.set(child, node);
  }
  const works = new Map<number, string>();
  for (const node of nodes) {
    const {functionName} = node.callFrame;
    if (functionName === '(idle)') continue;
    works.set(node.id, findWorkOfNode(node, parents));
  }
  return works;
}

function findWorkOfNode(
  node: ProfileNode,
  parents: ReadonlyMap<number, ProfileNode>,
): string {
  const {functionName} = node.callFrame;
  if (functionName === '(garbage collector)') return 'garbage collection';
  if (functionName === '(program)') return 'Node.js and the system';
  const frames: string[] = [];
  let frame: ProfileNode | undefined = node;
  while (frame !== undefined) {
    frames.push(frame.callFrame.url);
    frame = parents.get(frame.id);
  }
  return findWork(frames, RULES) ?? findWork(frames, LIBRARY_RULES) ?? 'other';
}

function findWork(
  frames: readonly string[],
  rules: readonly WorkRule[],
): string | undefined {
  for (const url of frames) {
    const rule = rules.find(({path}) => url.includes(path));
    if (rule !== undefined) return rule.work;
  }
  return undefined;
}
