/**
 * Shares the processor among the connections that have more to read. One read of
 * a socket may hold 10,000 chunks or 2,600 requests: read at once from hundreds of
 * connections, they delay all others for seconds.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Longest time for pieces in one turn of the event loop, in ms. */
const TURN_MS = 5;

/** Something that is read piece by piece. */
export interface PieceReader {
  /** Reads one piece; whether there is another one. */
  readPiece(): boolean;
}

/** Lets the readers take turns. */
export class PieceScheduler {
  private readonly waiting = new Set<PieceReader>();
  private isScheduled = false;

  constructor(private readonly readClock: () => Millis) {}

  /** Has a reader read in one of the next turns. */
  add(reader: PieceReader): void {
    this.waiting.add(reader);
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.runTurn());
  }

  /** Forgets a reader. */
  remove(reader: PieceReader): void {
    this.waiting.delete(reader);
  }

  private runTurn(): void {
    this.isScheduled = false;
    const endAt = this.readClock() + TURN_MS;
    for (const reader of this.waiting) {
      this.waiting.delete(reader);
      // One that is added again has its turn after all others.
      if (reader.readPiece()) this.waiting.add(reader);
      if (this.readClock() >= endAt) break;
    }
    const [next] = this.waiting;
    if (next !== undefined) this.add(next);
  }
}
