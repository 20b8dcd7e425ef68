/** What a stand-in writes down: every start, and counts of the rest. */

/** One start of one task. */
export interface StartRecord {
  readonly job: string;
  readonly task: string;
  /** Milliseconds since the epoch. */
  readonly at: number;
  /** Name of the server that started it. */
  readonly server: string;
}

/** The counts of one stand-in. */
export interface CountsReport {
  /** Requests served, by method and path without identities. */
  readonly requests: Readonly<Record<string, number>>;
  /** Refused requests, by code. */
  readonly refused: Readonly<Record<string, number>>;
  /** Tasks started. */
  readonly starts: number;
  /** Replies that a fault withheld. */
  readonly lostReplies: number;
  readonly connections: ConnectionCounts;
}

/** The connections of one stand-in. */
export interface ConnectionCounts {
  /** Open now. */
  readonly open: number;
  /** Most that were open at once. */
  readonly peak: number;
  /** Accepted since the start. */
  readonly accepted: number;
  /** Closed at once because the limit was reached. */
  readonly overLimit: number;
}

/** Records the starts and the counts of one stand-in. */
export class Records {
  private readonly requests = new Map<string, number>();
  private readonly refused = new Map<string, number>();
  private readonly started: StartRecord[] = [];
  private lostReplies = 0;

  constructor(
    private readonly server: string,
    private readonly countConnections: () => ConnectionCounts,
  ) {}

  /** Every start, oldest first. */
  get starts(): readonly StartRecord[] {
    return this.started;
  }

  /** Writes down that `task` of `job` starts at `at` (since the epoch). */
  addStart(job: string, task: string, at: number): void {
    this.started.push({job, task, at, server: this.server});
  }

  /** Counts one request of a kind. */
  addRequest(kind: string): void {
    this.requests.set(kind, (this.requests.get(kind) ?? 0) + 1);
  }

  /** Counts one refusal. */
  addRefusal(code: string): void {
    this.refused.set(code, (this.refused.get(code) ?? 0) + 1);
  }

  /** Counts one reply that a fault withheld. */
  addLostReply(): void {
    this.lostReplies += 1;
  }

  /** Forgets the starts; the counts stay. */
  clearStarts(): void {
    this.started.length = 0;
  }

  /** The counts so far. */
  report(): CountsReport {
    return {
      requests: Object.fromEntries(this.requests),
      refused: Object.fromEntries(this.refused),
      starts: this.started.length,
      lostReplies: this.lostReplies,
      connections: this.countConnections(),
    };
  }
}
