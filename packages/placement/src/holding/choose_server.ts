/** Selects the server for the next grant. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../fit/index.js';
import type {HeldServer} from './held_server.js';

/** Input of `chooseServer`. */
export interface ServerChoiceInput {
  readonly servers: Iterable<HeldServer>;
  /** Resources that the task reserves; undefined for runners. */
  readonly needs: Resources | undefined;
  /** Whether a server can take one more task of the claim's owner. */
  readonly accepts: (server: HeldServer) => boolean;
}

/** Returns the fastest server that accepts the task, or undefined. */
export function chooseServer(input: ServerChoiceInput): HeldServer | undefined {
  let best: HeldServer | undefined;
  for (const server of input.servers) {
    if (!input.accepts(server)) continue;
    if (best === undefined || isBetter(server, best, input.needs)) {
      best = server;
    }
  }
  return best;
}

function isBetter(
  a: HeldServer,
  b: HeldServer,
  needs: Resources | undefined,
): boolean {
  // Keeps accelerators free for the tasks that need them.
  if (needs !== undefined && needs.accelerators === 0) {
    const more = a.server.accelerators - b.server.accelerators;
    if (more !== 0) return more < 0;
  }
  return a.speed.speed > b.speed.speed;
}

/** Input of `isWorthStarting`. Speeds are relative to a mean of 1. */
export interface SlowServerChoice {
  /** Speed of the free server. */
  readonly speed: number;
  /** Mean speed of the slots in use. */
  readonly meanSpeed: number;
  readonly meanRunMs: Millis;
  /** Tasks waiting at this holder. */
  readonly waiting: number;
  /** Completions per millisecond at this holder; undefined while unknown. */
  readonly completionsPerMs: number | undefined;
  readonly waitedMs: Millis;
  /** Fraction of time in which no task waited here, 0 to 1. */
  readonly idleShare: number;
}

/**
 * Whether to start a task on a free slow server instead of waiting for a faster
 * one. The slow run costs the task the difference to a run at mean speed. In
 * return, each task queued behind it starts one slot sooner, and so does each
 * task that arrives before the queue is empty. The busier the holder, the more
 * tasks that are, so the cost is scaled down by the idle share.
 */
export function isWorthStarting(choice: SlowServerChoice): boolean {
  const slowdown = 1 / choice.speed - 1 / choice.meanSpeed;
  const costMs = choice.meanRunMs * slowdown * choice.idleShare ** 2;
  if (costMs <= 0 || choice.waitedMs >= costMs) return true;
  if (choice.completionsPerMs === undefined || choice.completionsPerMs <= 0)
    return true;
  return choice.waiting / choice.completionsPerMs >= costMs;
}
