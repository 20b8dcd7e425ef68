/** Operators' listener with a settings tree and a small fleet in memory. */
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  createOperatorsHandler,
  createSettingsOperations,
  type FleetOperations,
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
import {EditKind, NodeKind, type SettingsEdit} from '@goldcrestpier/settings';
import {Err, Ok, type Result} from 'ts-results-es';
import {MemorySettings} from './memory_settings.js';

/** The token that the instance requires. */
export const TOKEN = 'a token for operators';
const OWNER = 'batangas-1.e1.0123456789ab';
const UNREACHED = 'batangas-2.e2.ba9876543210';
/** The one job of the fleet. */
export const JOB_ID = `${OWNER}.4/quote-4711`;

/** Fake instance whose settings and faults a test changes while it runs. */
export class FakeInstance {
  readonly settings = new MemorySettings();
  /** Whether the connection is closed instead of responding to the next edit. */
  dropsNextEditResponse = false;
  private readonly server: Server;

  constructor() {
    const handler = createOperatorsHandler({
      token: TOKEN,
      settings: createSettingsOperations({
        store: this.settings,
        readApplied: () => this.settings.tree,
      }),
      fleet: createFleet(),
      logger: silentLogger,
    });
    this.server = createServer((request, response) => {
      if (this.dropsNextEditResponse && request.method === 'POST') {
        this.dropsNextEditResponse = false;
        response.on('error', () => undefined);
        response.writeHead = () => response.destroy();
      }
      handler(request, response);
    });
  }

  /** Resets the settings to a tree of three nodes at revision 1. */
  reset(): void {
    this.settings.reset();
    this.editAs('setup', [
      {kind: EditKind.Set, node: '/', key: 'retry.max_starts', value: 4},
      {kind: EditKind.AddNode, node: '/billing', nodeKind: NodeKind.Group},
      {
        kind: EditKind.AddNode,
        node: '/billing/quotes',
        nodeKind: NodeKind.Service,
      },
      {
        kind: EditKind.Set,
        node: '/billing/quotes',
        key: 'fairness.quotas.clerks',
        value: 500,
      },
    ]);
  }

  /** Applies edits of another operator. */
  editAs(by: string, edits: SettingsEdit[]): void {
    const editId = `edit-${this.settings.tree.revision}`;
    this.settings.applyEdit({editId, by, edits}).unwrap();
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
}

function createFleet(): FleetOperations {
  const [session = '', key = ''] = JOB_ID.split('/');
  const findJob = (named: string, namedKey: string, state: JobState) => {
    if (`${named}/${namedKey}` !== JOB_ID) {
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
        unreached: [UNREACHED],
      }),
    readJob: (named, namedKey) => findJob(named, namedKey, JobState.Running),
    cancelJob: (named, namedKey) => findJob(named, namedKey, JobState.Failed),
    listInstances: () =>
      ok({
        instances: [
          describeInstance(OWNER, true, 2),
          describeInstance(UNREACHED, false, 0),
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
