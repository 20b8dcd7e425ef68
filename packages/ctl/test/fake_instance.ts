/** An operators' listener over a small tree and fleet held in memory. */
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  ChangeKind,
  createOperatorsHandler,
  type EditRequest,
  type FleetOperations,
  type SettingsChange,
  type SettingsDifference,
  type SettingsOperations,
} from '@goldcrestpier/operators';
import {MemberState} from '@goldcrestpier/peers';
import {
  BackendKind,
  createFailure,
  FailureCode,
  JobState,
  TaskState,
  type Failure,
} from '@goldcrestpier/protocol';
import {silentLogger} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';

/** The token that the instance asks for. */
export const TOKEN = 'a token for operators';
const OWNER = 'batangas-1.e1.0123456789ab';
const SILENT = 'batangas-2.e2.ba9876543210';
/** The one job of the fleet. */
export const JOB = `${OWNER}.4/quote-4711`;

type Nodes = Record<string, Record<string, unknown>>;

/** What a test changes while the instance runs. */
export class FakeInstance {
  /** The tree at each revision, from 0. */
  readonly trees: Nodes[] = [];
  readonly editors: string[] = [];
  /** Called before the next edit is taken up. */
  beforeEdit: (() => void) | undefined;
  /** Whether the next answer to an edit is lost on its way. */
  losesAnswer = false;
  private readonly written = new Map<string, number>();
  private readonly server: Server;

  constructor() {
    this.reset();
    const handler = createOperatorsHandler({
      token: TOKEN,
      settings: this.createSettings(),
      fleet: createFleet(),
      logger: silentLogger,
    });
    this.server = createServer((request, response) => {
      if (this.losesAnswer && request.method === 'POST') {
        this.losesAnswer = false;
        response.on('error', () => undefined);
        response.writeHead = () => response.destroy();
      }
      handler(request, response);
    });
  }

  /** Back to one revision with two nodes. */
  reset(): void {
    const root = {'retry.maxStarts': 3};
    this.trees.splice(0, this.trees.length, {
      '': root,
      'billing/quotes': {'queue.maxWaiting': 500},
    });
    this.editors.splice(0, this.editors.length, 'setup');
  }

  async listen(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes one key as another operator would. */
  write(by: string, change: SettingsChange): void {
    const tree = structuredClone(this.trees.at(-1) ?? {});
    applyChange(tree, change);
    this.trees.push(tree);
    this.editors.push(by);
  }

  private get revision(): number {
    return this.trees.length - 1;
  }

  private createSettings(): SettingsOperations {
    return {
      read: node => {
        const tree = this.trees[this.revision] ?? {};
        if (node === undefined)
          return ok({revision: this.revision, nodes: tree});
        const values = tree[node];
        if (values === undefined) return unknownNode(node);
        return ok({revision: this.revision, nodes: {[node]: values}});
      },
      readEffective: node => {
        const tree = this.trees[this.revision] ?? {};
        if (tree[node] === undefined) return unknownNode(node);
        const values = ['', node].flatMap(from =>
          Object.entries(tree[from] ?? {}).map(([key, value]) => ({
            key,
            value,
            from,
          })),
        );
        values.push({key: 'hedge.enabled', value: false} as never);
        return ok({revision: this.revision, node, values});
      },
      edit: request => Promise.resolve(this.edit(request)),
      readHistory: limit =>
        ok({
          edits: this.editors
            .map((by, revision) => {
              const at = Date.UTC(2026, 0, 1) + revision;
              const changes = [`change ${revision}`, 'and another'];
              return {revision, id: `edit-${revision}`, by, at, changes};
            })
            .reverse()
            .slice(0, limit),
        }),
      diff: (from, to = this.revision) =>
        ok({from, to, differences: this.compare(from, to)}),
    };
  }

  private edit(
    request: EditRequest,
  ): Result<{id: string; revision: number}, Failure> {
    const before = this.beforeEdit;
    this.beforeEdit = undefined;
    before?.();
    const {id, by, expectedRevision: expected, changes} = request;
    const known = this.written.get(id);
    if (known !== undefined) return Ok({id, revision: known});
    if (expected !== undefined && expected !== this.revision) {
      const args = {expected, found: this.revision};
      return Err(createFailure(FailureCode.SettingsConflict, args));
    }
    for (const change of changes) {
      const problem = findProblem(change);
      if (problem !== undefined) return Err(problem);
      this.write(by, change);
    }
    this.written.set(id, this.revision);
    return Ok({id, revision: this.revision});
  }

  private compare(from: number, to: number): SettingsDifference[] {
    const [old = {}, young = {}] = [this.trees[from], this.trees[to]];
    return Object.keys(young).flatMap(node =>
      Object.entries(young[node] ?? {})
        .map(([key, after]) => ({node, key, before: old[node]?.[key], after}))
        .filter(({before, after}) => before !== after),
    );
  }
}

function applyChange(tree: Nodes, change: SettingsChange): void {
  switch (change.kind) {
    case ChangeKind.Set:
      tree[change.node] = {...tree[change.node], [change.key]: change.value};
      break;
    case ChangeKind.Unset:
      delete tree[change.node]?.[change.key];
      break;
    case ChangeKind.Remove:
      delete tree[change.node];
      break;
    case ChangeKind.Apply:
      for (const node of Object.keys(tree)) delete tree[node];
      Object.assign(tree, change.document);
  }
}

function findProblem(change: SettingsChange): Failure | undefined {
  if (change.kind !== ChangeKind.Set || typeof change.value === 'number') {
    return undefined;
  }
  const path = `${change.node}.${change.key}`;
  const found = JSON.stringify(change.value);
  const problems = [{path, found, expected: 'expected a number'}];
  return createFailure(FailureCode.SettingsInvalid, {problems});
}

function createFleet(): FleetOperations {
  const [session = '', key = ''] = JOB.split('/');
  const findJob = (named: string, namedKey: string, state: JobState) => {
    if (`${named}/${namedKey}` !== JOB) {
      return fail(createFailure(FailureCode.JobUnknown, {key: namedKey}));
    }
    const args = {server: 'runner-3'};
    const failure = createFailure(FailureCode.OutcomeUnknown, args);
    const tasks = [
      {index: 0, state: TaskState.Done, result: {price: 12}},
      {index: 1, state: TaskState.Failed, failure},
    ];
    return ok({session, key, attempt: 2, state, failure, tasks});
  };
  const summary = {session, key, team: 'billing', tasks: 690, done: 12};
  const other = {...summary, key: 'quote-1', team: 'tags', done: 690};
  return {
    listJobs: () =>
      ok({
        jobs: [
          {...summary, failed: 0, state: JobState.Running, ageMs: 1_234},
          {...other, failed: 0, state: JobState.Complete, ageMs: 61_000},
        ],
        unreached: [SILENT],
      }),
    readJob: (named, namedKey) => findJob(named, namedKey, JobState.Running),
    cancelJob: (named, namedKey) => findJob(named, namedKey, JobState.Failed),
    listInstances: () =>
      ok({
        instances: [
          describeInstance(OWNER, true, 2),
          describeInstance(SILENT, false, 0),
        ],
      }),
    listServers: () =>
      ok({
        servers: [
          {
            server: 'runner-3',
            kind: BackendKind.Runner,
            zone: 'batangas-1',
            pool: 'runner/quotes',
            holder: OWNER,
            slots: 8,
            inUse: 5,
            speed: 1.25,
            state: 'live',
          },
        ],
        unreached: [],
      }),
    drain: () => ok({incarnation: OWNER, openJobs: 2}),
  };
}

function describeInstance(
  incarnation: string,
  reached: boolean,
  openJobs: number,
) {
  const [zone = '', instance = ''] = incarnation.split('.');
  const member = {incarnation, zone, instance, state: MemberState.Live};
  const peerAddress = '10.0.0.5:7001';
  return {
    ...member,
    peerAddress,
    weight: 1,
    settingsRevision: 0,
    reached,
    openJobs,
  };
}

function ok<Answer>(answer: Answer): Promise<Result<Answer, Failure>> {
  return Promise.resolve(Ok(answer));
}

function fail(failure: Failure): Promise<Err<Failure>> {
  return Promise.resolve(Err(failure));
}

function unknownNode(node: string): Promise<Err<Failure>> {
  return fail(createFailure(FailureCode.SettingsUnknownNode, {node}));
}
