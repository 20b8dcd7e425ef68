/** Reaches the admin routes of a stand-in in another process. */
import {Agent, request} from 'undici';
import type {InstanceTarget} from '../instance_list/index.js';
import type {CountsReport, FaultChoice, StartRecord} from '../server/index.js';

const HTTP_OK = 200;

/** The admin routes of one stand-in. Each call rejects when it is refused. */
export class StandinAdmin {
  constructor(
    /** `host:port` of the admin routes. */
    readonly address: string,
    private readonly connections: Agent,
  ) {}

  /** Replaces the faults; those that `choice` leaves out are switched off. */
  async setFaults(choice: FaultChoice): Promise<void> {
    await this.send('PUT', 'faults', choice);
  }

  /** Every start, oldest first. */
  async readStarts(): Promise<readonly StartRecord[]> {
    return (await this.send('GET', 'starts')) as readonly StartRecord[];
  }

  /** Forgets the starts. */
  async clearStarts(): Promise<void> {
    await this.send('DELETE', 'starts');
  }

  /** The counts so far. */
  async readCounts(): Promise<CountsReport> {
    return (await this.send('GET', 'counts')) as CountsReport;
  }

  /** Adds or changes an instance of the list. */
  async putTarget(target: InstanceTarget): Promise<void> {
    await this.send('PUT', `targets/${target.labels.name}`, target);
  }

  /** Takes an instance out of the list. */
  async removeTarget(name: string): Promise<void> {
    await this.send('DELETE', `targets/${name}`);
  }

  /** Sends one JSON request; `path` is what follows `/admin/`. */
  async send(method: AdminMethod, path: string, body?: object) {
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

/** The methods of the admin routes. */
export type AdminMethod = 'GET' | 'PUT' | 'DELETE';
