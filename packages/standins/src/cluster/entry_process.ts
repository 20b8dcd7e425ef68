/** Process of an entry instance: settings file, start, readiness, exit. */
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
const READY_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 20;
const HTTP_OK = 200;

/** Addresses of an entry instance. */
export interface EntryAddresses {
  /** `host:port` for callers, through the relay for clients if there is one. */
  readonly callers: string;
  /** `host:port` for callers, without a relay. */
  readonly directCallers: string;
  /** `host:port` that is advertised to its peers. */
  readonly peers: string;
  readonly operators: string;
}

/** Options of an `EntryProcess`. */
export interface EntryProcessOptions {
  readonly name: string;
  readonly zone: string;
  readonly addresses: EntryAddresses;
  readonly operatorsToken: string;
  /** Content of the settings file. */
  readonly settings: object;
  readonly folder: string;
  readonly agent: Agent;
}

/** An entry instance; can be restarted after its process has exited. */
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

  /** Base URL of the API for callers. */
  get url(): string {
    return `http://${this.addresses.callers}`;
  }

  /** The most recently started process. Throws before the first start. */
  get process(): LaunchedProcess {
    if (this.launched === undefined)
      throw new Error('the entry instance was never started');
    return this.launched;
  }

  /** Process id; undefined while no process runs. */
  get pid(): number | undefined {
    return this.launched?.isRunning === true ? this.launched.pid : undefined;
  }

  /** Starts a process without waiting; the caller has to terminate it. */
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

  /** Waits until `/readyz` returns 200. Rejects on process exit or timeout. */
  async waitUntilReady(): Promise<void> {
    const timeoutAt = readClock() + READY_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (this.process.isRunning && readClock() < timeoutAt) {
        await sleep(POLL_INTERVAL_MS);
        continue;
      }
      const logTail = this.process.readLogTail();
      throw new Error(`${this.name} did not become ready:\n${logTail}`);
    }
  }

  /** Whether `/readyz` returns 200. */
  async isReady(): Promise<boolean> {
    try {
      const {statusCode, body} = await request(
        `http://${this.addresses.directCallers}/readyz`,
        {dispatcher: this.options.agent},
      );
      await body.dump();
      return statusCode === HTTP_OK;
    } catch {
      return false;
    }
  }

  /** Suspends the process (SIGSTOP). */
  pause(): void {
    this.process.signal('SIGSTOP');
  }

  /** Resumes the suspended process (SIGCONT). */
  resume(): void {
    this.process.signal('SIGCONT');
  }

  /** Kills the process (SIGKILL) and waits for its exit. */
  async kill(): Promise<ProcessExit> {
    this.process.signal('SIGKILL');
    return this.process.exited;
  }

  /** Requests a graceful stop (SIGTERM) and waits for the exit. */
  async stop(): Promise<ProcessExit> {
    this.process.signal('SIGTERM');
    return this.process.exited;
  }

  /** Sends SIGTERM, after a timeout SIGKILL; no effect after the exit. */
  async terminate(): Promise<void> {
    await this.launched?.terminate();
  }
}
