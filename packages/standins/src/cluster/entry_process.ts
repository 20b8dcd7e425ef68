/** One entry instance as a process: settings file, start, readiness, end. */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {stringify} from 'smol-toml';
import {request, type Agent} from 'undici';
import {LaunchedProcess, type ProcessExit} from './launched_process.js';

const ENTRY_FILE = fileURLToPath(
  new URL('../../../../entry/dist/src/bin/goldcrestpier.js', import.meta.url),
);
const READY_MS = 60_000;
const POLL_MS = 20;
const HTTP_OK = 200;

/** Where an entry instance is reached. */
export interface EntryAddresses {
  /** `host:port` for callers, through the clients' relay if there is one. */
  readonly callers: string;
  /** `host:port` for callers on the instance itself. */
  readonly directCallers: string;
  /** `host:port` that its peers are told. */
  readonly peers: string;
  readonly operators: string;
}

/** What an entry process is made with. */
export interface EntryProcessOptions {
  readonly name: string;
  readonly zone: string;
  readonly addresses: EntryAddresses;
  readonly operatorsToken: string;
  /** The whole settings file. */
  readonly settings: object;
  readonly folder: string;
  readonly connections: Agent;
}

/** One entry instance; it may be started again after it ended. */
export class EntryProcess {
  readonly name: string;
  readonly zone: string;
  readonly addresses: EntryAddresses;
  readonly operatorsToken: string;
  readonly settingsFile: string;
  private launched: LaunchedProcess | undefined;

  constructor(private readonly options: EntryProcessOptions) {
    this.name = options.name;
    this.zone = options.zone;
    this.addresses = options.addresses;
    this.operatorsToken = options.operatorsToken;
    this.settingsFile = join(options.folder, `${options.name}.toml`);
    writeFileSync(this.settingsFile, stringify(options.settings));
  }

  /** Base of the callers' interface. */
  get url(): string {
    return `http://${this.addresses.callers}`;
  }

  /** The process that was started last. Throws before the first start. */
  get process(): LaunchedProcess {
    if (this.launched === undefined) throw new Error('it was never started');
    return this.launched;
  }

  /** Its process id while it runs. */
  get pid(): number | undefined {
    return this.launched?.isRunning === true ? this.launched.pid : undefined;
  }

  /** Starts a process without waiting for it; its owner has to end it. */
  launch(): void {
    this.launched = new LaunchedProcess({
      name: this.name,
      file: ENTRY_FILE,
      args: ['--settings', this.settingsFile],
      logFile: join(this.options.folder, `${this.name}.log`),
    });
  }

  /** Starts a process and waits until it is ready. */
  async start(): Promise<void> {
    this.launch();
    await this.waitUntilReady();
  }

  /** Waits until `/readyz` is 200. Rejects when the process ends before. */
  async waitUntilReady(): Promise<void> {
    const endAt = readClock() + READY_MS;
    while (!(await this.isReady())) {
      if (this.process.isRunning && readClock() < endAt) {
        await sleep(POLL_MS);
        continue;
      }
      const tail = this.process.readLogTail();
      throw new Error(`${this.name} did not become ready:\n${tail}`);
    }
  }

  /** Whether `/readyz` is 200 now. */
  async isReady(): Promise<boolean> {
    try {
      const {statusCode, body} = await request(
        `http://${this.addresses.directCallers}/readyz`,
        {dispatcher: this.options.connections},
      );
      await body.dump();
      return statusCode === HTTP_OK;
    } catch {
      return false;
    }
  }

  /** Freezes it (SIGSTOP). */
  pause(): void {
    this.process.signal('SIGSTOP');
  }

  /** Lets it go on (SIGCONT). */
  resume(): void {
    this.process.signal('SIGCONT');
  }

  /** Kills it (SIGKILL) and waits for its end. */
  async kill(): Promise<ProcessExit> {
    this.process.signal('SIGKILL');
    return this.process.exited;
  }

  /** Asks it to stop (SIGTERM) and waits for its end. */
  async stop(): Promise<ProcessExit> {
    this.process.signal('SIGTERM');
    return this.process.exited;
  }

  /** Ends it, patiently at first; nothing happens when it has ended. */
  async end(): Promise<void> {
    await this.launched?.end();
  }
}
