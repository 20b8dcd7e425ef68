/** Clients for the admin routes of stand-ins in other processes. */
import {Agent, request} from 'undici';
import type {InstanceTarget} from '../instance_list/index.js';
import type {CallCounts, KeyValueFaults} from '../kv/index.js';
import type {CountsReport, FaultsInput, StartRecord} from '../server/index.js';

const HTTP_OK = 200;

type AdminMethod = 'GET' | 'PUT' | 'DELETE';

/** Sends requests to the admin routes of one stand-in. */
class AdminClient {
  constructor(
    /** `host:port` of the admin routes. */
    readonly address: string,
    private readonly agent: Agent,
  ) {}

  /** Sends a request to `/admin/{path}`. Throws unless the status is 200. */
  protected async send(method: AdminMethod, path: string, body?: object) {
    const {statusCode, body: answer} = await request(
      `http://${this.address}/admin/${path}`,
      {
        method,
        dispatcher: this.agent,
        headers: {'content-type': 'application/json'},
        body: body === undefined ? null : JSON.stringify(body),
      },
    );
    const responseBody: unknown = await answer.json();
    if (statusCode === HTTP_OK) return responseBody;
    throw new Error(`${method} ${path}: ${JSON.stringify(responseBody)}`);
  }
}

/** Admin client for a runner or worker. Methods reject on an error response. */
export class StandinAdminClient extends AdminClient {
  /** Replaces the faults; those that `choice` leaves out are switched off. */
  async setFaults(faults: FaultsInput): Promise<void> {
    await this.send('PUT', 'faults', faults);
  }

  /** Recorded starts, oldest first, without the first `from`. */
  async readStarts(from = 0): Promise<readonly StartRecord[]> {
    const starts = await this.send('GET', `starts?from=${from}`);
    return starts as readonly StartRecord[];
  }

  /** Deletes the recorded starts. */
  async clearStarts(): Promise<void> {
    await this.send('DELETE', 'starts');
  }

  /** Reads the current counters. */
  async readCounts(): Promise<CountsReport> {
    return (await this.send('GET', 'counts')) as CountsReport;
  }
}

/** Admin client for an instance list. */
export class InstanceListAdminClient extends StandinAdminClient {
  /** The instances that the list currently returns. */
  async readTargets(): Promise<readonly InstanceTarget[]> {
    return (await this.send('GET', 'targets')) as readonly InstanceTarget[];
  }

  /** Adds or replaces an instance; visible after the list's delay. */
  async putTarget(target: InstanceTarget): Promise<void> {
    await this.send('PUT', `targets/${target.labels.name}`, target);
  }

  /** Removes an instance; visible after the list's delay. */
  async removeTarget(name: string): Promise<void> {
    await this.send('DELETE', `targets/${name}`);
  }
}

/** Admin client for the key-value service. */
export class KeyValueAdminClient extends AdminClient {
  /** Replaces the faults; those that `choice` leaves out are switched off. */
  async setFaults(faults: Partial<KeyValueFaults>): Promise<void> {
    await this.send('PUT', 'faults', faults);
  }

  /** Number of received calls by kind. */
  async readCounts(): Promise<CallCounts> {
    return (await this.send('GET', 'counts')) as CallCounts;
  }
}
