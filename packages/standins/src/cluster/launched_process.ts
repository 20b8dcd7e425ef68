/** One process of a cluster: started here, watched here, ended here. */
import {spawn, type ChildProcess} from 'node:child_process';
import {closeSync, openSync, readFileSync} from 'node:fs';
import {createInterface} from 'node:readline';
import {sleep, type Lifecycle} from '@goldcrestpier/runtime';

/** How long a process may take to stop before `end` kills it. */
const STOP_MS = 5_000;
const LOG_TAIL_CHARACTERS = 2_000;

/** How a process ended. */
export interface ProcessExit {
  /** Exit code; null when a signal ended it. */
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** What to start. */
export interface ProcessOptions {
  readonly name: string;
  /** Compiled file that node runs. */
  readonly file: string;
  readonly args: readonly string[];
  /** File that both of its outputs are appended to. */
  readonly logFile: string;
}

const running = new Set<LaunchedProcess>();
let isGuarded = false;

/** A node process, ended with the life cycle it was launched under. */
export class LaunchedProcess {
  readonly name: string;
  readonly pid: number;
  readonly logFile: string;
  /** Resolves when it ended, in whatever way. */
  readonly exited: Promise<ProcessExit>;
  private exit: ProcessExit | undefined;
  private readonly child: ChildProcess;

  /** `output` tells what becomes of its standard output. */
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
      this.child.once('error', () => this.settle(resolve, null, null));
      this.child.once('exit', (code, signal) =>
        this.settle(resolve, code, signal),
      );
    });
    running.add(this);
    guardExit();
  }

  /** Whether it has not ended yet. */
  get isRunning(): boolean {
    return this.exit === undefined;
  }

  /** The first line of its standard output; undefined when it ends before. */
  async readLine(): Promise<string | undefined> {
    if (this.child.stdout === null) return undefined;
    const lines = createInterface({input: this.child.stdout});
    for await (const line of lines) return line;
    return undefined;
  }

  /** Sends a signal: SIGSTOP, SIGCONT, SIGKILL, SIGTERM. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /** Asks it to stop, and kills it when that takes too long. */
  async end(): Promise<ProcessExit> {
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    const patience = new AbortController();
    void this.exited.then(() => patience.abort());
    await sleep(STOP_MS, patience.signal);
    this.signal('SIGKILL');
    return this.exited;
  }

  /** The end of its log. */
  readLogTail(): string {
    return readFileSync(this.logFile, 'utf8').slice(-LOG_TAIL_CHARACTERS);
  }

  private settle(
    resolve: (exit: ProcessExit) => void,
    code: number | null,
    signal: NodeJS.Signals | null,
  ): void {
    this.exit = {code, signal};
    running.delete(this);
    resolve(this.exit);
  }
}

/** Launches a process that `lifecycle` ends. */
export function launchProcess(
  options: ProcessOptions,
  lifecycle: Lifecycle,
  output: 'log' | 'pipe' = 'log',
): LaunchedProcess {
  const launched = new LaunchedProcess(options, output);
  lifecycle.own(launched.name, async () => {
    await launched.end();
  });
  return launched;
}

/** Leaves no process behind when this one ends before it could clean up. */
function guardExit(): void {
  if (isGuarded) return;
  isGuarded = true;
  process.on('exit', () => {
    for (const each of running) each.signal('SIGKILL');
  });
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => process.exit(1));
  }
}
