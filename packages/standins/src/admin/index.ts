/** Reaches the admin routes of stand-ins in other processes. */
import {Agent, request} from 'undici';
import type {InstanceTarget} from '../instance_list/index.js';
import type {CallCounts, KeyValueFaults} from '../kv/index.js';
import type {CountsReport, FaultChoice, StartRecord} from '../server/index.js';

const HTTP_OK = 200;

/** The methods of the admin routes. */
type AdminMethod = 'GET' | 'PUT' | 'DELETE';

/** The admin routes of one stand-in. */
class AdminRoutes {
  constructor(
    /** `host:port` of the admin routes. */
    readonly address: string,
    private readonly connections: Agent,
  ) {}

  /** Sends one JSON request to what follows `/admin/`. */
  protected async send(method: AdminMethod, path: string, body?: object) {
    const {statusCode, body: answer} = await request(
      `http://${this.address}/admin/${path}`,
      {
        method,
        dispatcher: this.connections,
        headers: {'content-type': 'application/json'},
        body: body === undefined ? null : JSON.stringify(body),
      },
    );
    const document: unknown = await answer.json();
    if (statusCode === HTTP_OK) return document;
    throw new Error(`${method} ${path}: ${JSON.stringify(document)}`);
  }
}

/** The admin of a runner or worker. Each call rejects when it is refused. */
export class StandinAdmin extends AdminRoutes {
  /** Replaces the faults; those that `choice` leaves out are switched off. */
  async setFaults(choice: FaultChoice): Promise<void> {
    await this.send('PUT', 'faults', choice);
  }

  /** Every start from the `from`th on, oldest first. */
  async readStarts(from = 0): Promise<readonly StartRecord[]> {
    const starts = await this.send('GET', `starts?from=${from}`);
    return starts as readonly StartRecord[];
  }

  /** Forgets the starts. */
  async clearStarts(): Promise<void> {
    await this.send('DELETE', 'starts');
  }

  /** The counts so far. */
  async readCounts(): Promise<CountsReport> {
    return (await this.send('GET', 'counts')) as CountsReport;
  }
}

/** The admin of an instance list. */
export class InstanceListAdmin extends StandinAdmin {
  /** What the list shows now. */
  async readTargets(): Promise<readonly InstanceTarget[]> {
    return (await this.send('GET', 'targets')) as readonly InstanceTarget[];
  }

  /** Adds or changes an instance; shows after the lag. */
  async putTarget(target: InstanceTarget): Promise<void> {
    await this.send('PUT', `targets/${target.labels.name}`, target);
  }

  /** Takes an instance out; shows after the lag. */
  async removeTarget(name: string): Promise<void> {
    await this.send('DELETE', `targets/${name}`);
  }
}

/** The admin of the key-value service. */
export class KeyValueAdmin extends AdminRoutes {
  /** Replaces the faults; those that `choice` leaves out are switched off. */
  async setFaults(choice: Partial<KeyValueFaults>): Promise<void> {
    await this.send('PUT', 'faults', choice);
  }

  /** How often each kind of call arrived. */
  async readCounts(): Promise<CallCounts> {
    return (await this.send('GET', 'counts')) as CallCounts;
  }
}
