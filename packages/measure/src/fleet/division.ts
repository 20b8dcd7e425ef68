/** Divides profiles of V8 by the work that the time went into. */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

const MICROS_PER_SECOND = 1_000_000;

/** Time that went into one kind of work. */
export interface WorkShare {
  readonly work: string;
  readonly seconds: number;
}

interface ProfileNode {
  readonly id: number;
  readonly callFrame: {readonly functionName: string; readonly url: string};
  readonly children?: readonly number[];
}

interface Profile {
  readonly nodes: readonly ProfileNode[];
  readonly samples: readonly number[];
  readonly timeDeltas: readonly number[];
}

interface WorkRule {
  readonly work: string;
  /** Part of the path of a file whose frames belong to the work. */
  readonly path: string;
}

/** The first that fits the innermost frame with a rule decides. */
const RULES: readonly WorkRule[] = [
  {work: 'log lines', path: '/runtime/dist/src/logger'},
  {work: 'log lines', path: '/holder/observer'},
  {work: 'log lines', path: '/bunyan/'},
  {work: 'metrics', path: '/prom-client/'},
  {work: 'metrics', path: '/zone/dist/src/metrics'},
  {work: 'deciding', path: '/packages/dispatch/'},
  {work: 'deciding', path: '/zone/dist/src/holder/holder.js'},
  {work: 'holder, rest', path: '/zone/dist/src/holder/'},
  {work: 'owner', path: '/zone/dist/src/owner/'},
  {work: 'heartbeats', path: '/zone/dist/src/instance/own_heartbeat'},
  {work: 'heartbeats', path: '/zone/dist/src/instance/links'},
  {work: 'role step', path: '/zone/dist/src/instance/'},
  {work: 'role step', path: '/zone/dist/src/election/'},
  {work: 'peer calls', path: '/zone/dist/src/protocol/'},
  {work: 'peer calls', path: '/packages/peers/'},
  {work: 'orders and looks', path: '/platform/dist/src/workers/'},
  {work: 'store', path: '/platform/dist/src/store/'},
  {work: 'store', path: '/platform/dist/src/directory/'},
  {work: 'callers', path: '/platform/dist/src/callers/'},
  {work: 'readiness, metrics page', path: '/platform/dist/src/process/'},
  {work: 'HTTP client', path: '/platform/dist/src/exchange/'},
];

/** For frames of which no caller has a rule, as behind the event loop. */
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

/** Time by kind of work over all profiles of a folder, the most first. */
export function divideProfiles(folder: string): WorkShare[] {
  const seconds = new Map<string, number>();
  for (const file of readdirSync(folder)) {
    const text = readFileSync(join(folder, file), 'utf8');
    addProfile(JSON.parse(text) as Profile, seconds);
  }
  return [...seconds]
    .map(([work, each]) => ({work, seconds: each}))
    .sort((one, other) => other.seconds - one.seconds);
}

/** Adds the samples of one profile, in seconds by kind of work. */
export function addProfile(
  {nodes, samples, timeDeltas}: Profile,
  seconds: Map<string, number>,
): void {
  const works = nameWorks(nodes);
  samples.forEach((id, index) => {
    const work = works.get(id);
    if (work === undefined) return;
    // The time up to the next sample was spent where this one was taken.
    const micros = timeDeltas[index + 1] ?? 0;
    const sum = (seconds.get(work) ?? 0) + micros / MICROS_PER_SECOND;
    seconds.set(work, sum);
  });
}

/** The work of each node of a call tree; none where the process waited. */
function nameWorks(nodes: readonly ProfileNode[]): Map<number, string> {
  const parents = new Map<number, ProfileNode>();
  for (const node of nodes) {
    for (const child of node.children ?? []) parents.set(child, node);
  }
  const works = new Map<number, string>();
  for (const node of nodes) {
    const {functionName} = node.callFrame;
    if (functionName === '(idle)') continue;
    works.set(node.id, nameWork(node, parents));
  }
  return works;
}

function nameWork(
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
  return findWork(frames, RULES) ?? findWork(frames, LIBRARY_RULES) ?? 'rest';
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
