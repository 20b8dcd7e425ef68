/**
 * Shares the processor among the connections that have more to read. One read of
 * a socket may hold 10,000 chunks or 2,600 requests: read at once from hundreds of
 * connections, they delay all others for seconds.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Longest time for pieces in one turn of the event loop, in ms. */
const TURN_MS = 5;
/**
 * The same after a connection was accepted: the runtime accepts one a turn, and the
 * kernel holds what the clients of all others send.
 */
const ACCEPTING_TURN_MS = 0.5;

/** Something that is read piece by piece. */
export interface PieceReader {
  /** Reads one piece; whether there is another one. */
  readPiece(): boolean;
}

/** Lets the readers take turns. */
export class PieceScheduler {
  private readonly waiting = new Set<PieceReader>();
  private isScheduled = false;
  /** Time spent on pieces since the last turn began, in ms. */
  private spentMs: Millis = 0;
  private hasAccepted = false;

  constructor(private readonly readClock: () => Millis) {}

  /** Records that a connection was accepted, after which others may wait. */
  recordAccepted(): void {
    this.hasAccepted = true;
  }

  /** Has a reader read at once if there is time, else in one of the next turns. */
  addFirst(reader: PieceReader): void {
    this.schedule();
    if (this.spentMs >= this.turnMs) return this.add(reader);
    const startedAt = this.readClock();
    const hasMore = reader.readPiece();
    this.spentMs += this.readClock() - startedAt;
    if (hasMore) this.add(reader);
  }

  /** Has a reader read in one of the next turns. */
  add(reader: PieceReader): void {
    this.waiting.add(reader);
    this.schedule();
  }

  /** Forgets a reader. */
  remove(reader: PieceReader): void {
    this.waiting.delete(reader);
  }

  private get turnMs(): Millis {
    return this.hasAccepted ? ACCEPTING_TURN_MS : TURN_MS;
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.runTurn());
  }

  private runTurn(): void {
    this.isScheduled = false;
    this.spentMs = 0;
    const endAt = this.readClock() + this.turnMs;
    this.hasAccepted = false;
    for (const reader of this.waiting) {
      this.waiting.delete(reader);
      // One that is added again has its turn after all others.
      if (reader.readPiece()) this.waiting.add(reader);
      if (this.readClock() >= endAt) break;
    }
    if (this.waiting.size > 0) this.schedule();
  }
}
