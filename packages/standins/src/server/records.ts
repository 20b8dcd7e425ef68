/** Records of a stand-in: every task start, and counters. */

/** One start of a task. */
export interface StartRecord {
  readonly job: string;
  readonly task: string;
  /** Milliseconds since the epoch. */
  readonly at: number;
  /** Name of the stand-in that started it. */
  readonly server: string;
}

/** Counters of one stand-in. */
export interface CountsReport {
  /** Served requests by method and path, with `*` in place of ids. */
  readonly requests: Readonly<Record<string, number>>;
  /** Refused requests by `code`. */
  readonly refused: Readonly<Record<string, number>>;
  /** Number of task starts. */
  readonly starts: number;
  /** Replies not sent because of a fault. */
  readonly lostReplies: number;
  readonly connections: ConnectionCounts;
}

/** Connection counters of one stand-in. */
export interface ConnectionCounts {
  /** Currently open. */
  readonly open: number;
  /** Highest number open at the same time. */
  readonly peak: number;
  /** Accepted in total. */
  readonly accepted: number;
  /** Closed on arrival because the connection limit was reached. */
  readonly overLimit: number;
}

/** Task starts and counters of one stand-in. */
export class Records {
  private readonly requests = new Map<string, number>();
  private readonly refused = new Map<string, number>();
  private readonly startRecords: StartRecord[] = [];
  private lostReplies = 0;

  constructor(
    private readonly server: string,
    private readonly countConnections: () => ConnectionCounts,
  ) {}

  /** All recorded starts, oldest first. */
  get starts(): readonly StartRecord[] {
    return this.startRecords;
  }

  /** Records that `task` of `job` starts at `at` (ms since the epoch). */
  recordStart(job: string, task: string, at: number): void {
    this.startRecords.push({job, task, at, server: this.server});
  }

  /** Counts a request; `kind` is its method and path. */
  countRequest(kind: string): void {
    this.requests.set(kind, (this.requests.get(kind) ?? 0) + 1);
  }

  /** Counts a refused request by the `code` of its reply. */
  countRefusal(code: string): void {
    this.refused.set(code, (this.refused.get(code) ?? 0) + 1);
  }

  /** Counts a reply that was not sent because of a fault. */
  countLostReply(): void {
    this.lostReplies += 1;
  }

  /** Deletes the recorded starts; other counters keep their values. */
  clearStarts(): void {
    this.startRecords.length = 0;
  }

  /** Returns the current counters. */
  report(): CountsReport {
    return {
      requests: Object.fromEntries(this.requests),
      refused: Object.fromEntries(this.refused),
      starts: this.startRecords.length,
      lostReplies: this.lostReplies,
      connections: this.countConnections(),
    };
  }
}
