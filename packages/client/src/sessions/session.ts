/** One session and its keep-alive connections. */
import type {Pool} from 'undici';

/** A session idle for this share of its idle timeout is replaced. */
const MAX_IDLE_SHARE = 0.5;

/** One session; once retired, it closes its connections after the last call. */
export class Session {
  private activeCalls = 0;
  private isRetired = false;

  constructor(
    readonly id: string,
    readonly pool: Pool,
    private readonly idleMs: number,
    private lastUsedAt: number,
  ) {}

  /** Whether new jobs may be submitted in it. */
  isUsable(now: number): boolean {
    if (this.isRetired) return false;
    if (this.activeCalls > 0) return true;
    return now - this.lastUsedAt < this.idleMs * MAX_IDLE_SHARE;
  }

  /**
   * Keeps the connections open until the matching `release`. Returns false if
   * the session is retired.
   */
  hold(): boolean {
    if (this.isRetired) return false;
    this.activeCalls += 1;
    return true;
  }

  /** Ends one call at `now`. */
  release(now: number): void {
    this.activeCalls -= 1;
    this.lastUsedAt = now;
    this.closeIfUnused();
  }

  /** Stops accepting new jobs; jobs in progress continue. */
  retire(): void {
    if (this.isRetired) return;
    this.isRetired = true;
    this.closeIfUnused();
  }

  private closeIfUnused(): void {
    if (!this.isRetired || this.activeCalls > 0) return;
    this.pool.destroy().catch(() => undefined);
  }
}
