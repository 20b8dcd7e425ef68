/**
 * Pauses of sockets whose received bytes wait for their turn. The kernel holds what
 * clients send meanwhile, in nobody's account, so only a few may be paused.
 */
import type {Socket} from 'node:net';

/** Maximum number of sockets that are paused at a time. */
const MAX_PAUSED = 4;

/** Counts the paused sockets of all connections. */
export class PauseQuota {
  private paused = 0;

  /** Whether one more may be paused; `leave` has to report its end. */
  tryEnter(): boolean {
    if (this.paused >= MAX_PAUSED) return false;
    this.paused += 1;
    return true;
  }

  /** Records that a socket is read again, or closed. */
  leave(): void {
    this.paused -= 1;
  }
}

/** Pauses one socket. */
export class SocketPause {
  private isPaused = false;

  constructor(
    private readonly socket: Socket,
    private readonly quota: PauseQuota,
  ) {}

  /** Stops reading the socket, unless too many are paused. */
  tryStart(): void {
    if (this.isPaused || !this.quota.tryEnter()) return;
    this.isPaused = true;
    this.socket.pause();
  }

  /** Reads the socket again. */
  end(): void {
    if (!this.isPaused) return;
    this.isPaused = false;
    this.quota.leave();
    this.socket.resume();
  }
}
