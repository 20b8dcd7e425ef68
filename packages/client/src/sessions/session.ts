/** One session and the kept-alive connections that it is used over. */
import type {Pool} from 'undici';

/** A session is left alone after this share of its idle time. */
const SAFE_IDLE_SHARE = 0.5;

/** One session; its connections close when its last call has ended. */
export class Session {
  private calls = 0;
  private retired = false;

  constructor(
    readonly identity: string,
    readonly pool: Pool,
    private readonly idleMs: number,
    private usedAt: number,
  ) {}

  /** Whether new jobs may go into it. */
  isUsable(now: number): boolean {
    if (this.retired) return false;
    if (this.calls > 0) return true;
    return now - this.usedAt < this.idleMs * SAFE_IDLE_SHARE;
  }

  /**
   * Keeps the connections open until the matching `release`. False when the
   * session was retired.
   */
  hold(): boolean {
    if (this.retired) return false;
    this.calls += 1;
    return true;
  }

  /** Ends one call at `now`. */
  release(now: number): void {
    this.calls -= 1;
    this.usedAt = now;
    this.closeWhenUnused();
  }

  /** Takes no new jobs; those in it go on. */
  retire(): void {
    if (this.retired) return;
    this.retired = true;
    this.closeWhenUnused();
  }

  private closeWhenUnused(): void {
    if (!this.retired || this.calls > 0) return;
    this.pool.destroy().catch(() => undefined);
  }
}
