/** Starts and terminates the processes of a cluster. */
import {spawn, type ChildProcess} from 'node:child_process';
import {closeSync, openSync, readFileSync} from 'node:fs';
import {createInterface} from 'node:readline';
import {sleep, type Lifecycle} from '@goldcrestpier/runtime';

/** How long a process may take to stop before `terminate` kills it. */
const STOP_TIMEOUT_MS = 5_000;
const LOG_TAIL_CHARACTERS = 2_000;

/** How a process exited. */
export interface ProcessExit {
  /** Exit code; null if a signal ended the process. */
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Options of a `LaunchedProcess`. */
export interface ProcessOptions {
  readonly name: string;
  /** Compiled JavaScript file to run with node. */
  readonly file: string;
  readonly args: readonly string[];
  /** File to which standard output and standard error are appended. */
  readonly logFile: string;
}

const runningProcesses = new Set<LaunchedProcess>();
let hasExitHandlers = false;

/** A node process. */
export class LaunchedProcess {
  readonly name: string;
  readonly pid: number;
  readonly logFile: string;
  /** Resolves when the process has exited for any reason. */
  readonly exited: Promise<ProcessExit>;
  private exit: ProcessExit | undefined;
  private readonly child: ChildProcess;

  /** `output`: where standard output goes; `readLine` needs `pipe`. */
  constructor(options: ProcessOptions, output: 'log' | 'pipe' = 'log') {
    this.name = options.name;
    this.logFile = options.logFile;
    const log = openSync(options.logFile, 'a');
    const stdout = output === 'log' ? log : 'pipe';
    this.child = spawn(process.execPath, [options.file, ...options.args], {
      stdio: ['pipe', stdout, log],
    });
    closeSync(log);
    this.pid = this.child.pid ?? -1;
    this.exited = new Promise(resolve => {
      this.child.once('error', () => this.handleExit(resolve, null, null));
      this.child.once('exit', (code, signal) =>
        this.handleExit(resolve, code, signal),
      );
    });
    runningProcesses.add(this);
    killProcessesOnExit();
  }

  /** Whether the process has not exited yet. */
  get isRunning(): boolean {
    return this.exit === undefined;
  }

  /** First line of standard output; undefined if it closes before. */
  async readLine(): Promise<string | undefined> {
    if (this.child.stdout === null) return undefined;
    const lines = createInterface({input: this.child.stdout});
    for await (const line of lines) return line;
    return undefined;
  }

  /** Sends a signal; no effect after the exit. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /** Sends SIGTERM, and SIGKILL if the process runs on after a timeout. */
  async terminate(): Promise<ProcessExit> {
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    const exitController = new AbortController();
    void this.exited.then(() => exitController.abort());
    await sleep(STOP_TIMEOUT_MS, exitController.signal);
    this.signal('SIGKILL');
    return this.exited;
  }

  /** Returns the end of the log file. */
  readLogTail(): string {
    return readFileSync(this.logFile, 'utf8').slice(-LOG_TAIL_CHARACTERS);
  }

  private handleExit(
    resolve: (exit: ProcessExit) => void,
    code: number | null,
    signal: NodeJS.Signals | null,
  ): void {
    this.exit = {code, signal};
    runningProcesses.delete(this);
    resolve(this.exit);
  }
}

/** Launches a process, which is terminated when `lifecycle` closes. */
export function launchProcess(
  options: ProcessOptions,
  lifecycle: Lifecycle,
  output: 'log' | 'pipe' = 'log',
): LaunchedProcess {
  const launched = new LaunchedProcess(options, output);
  lifecycle.own(launched.name, async () => {
    await launched.terminate();
  });
  return launched;
}

/** Kills the launched processes if this one exits without closing them. */
function killProcessesOnExit(): void {
  if (hasExitHandlers) return;
  hasExitHandlers = true;
  process.on('exit', () => {
    for (const launched of runningProcesses) launched.signal('SIGKILL');
  });
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => process.exit(1));
  }
}
