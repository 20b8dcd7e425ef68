/** Which of the free servers a task is granted. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../fit/index.js';
import type {HeldServer} from './held_server.js';

/** What the choice looks at. */
export interface ChoiceInput {
  readonly servers: Iterable<HeldServer>;
  readonly needs: Resources | undefined;
  /** Whether a server may get one more task of the claim's owner. */
  readonly admits: (server: HeldServer) => boolean;
}

/** The fastest server that admits the task, undefined when none does. */
export function chooseServer(input: ChoiceInput): HeldServer | undefined {
  let best: HeldServer | undefined;
  for (const server of input.servers) {
    if (!input.admits(server)) continue;
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
  // A task without accelerators leaves them to those that need them.
  if (needs !== undefined && needs.accelerators === 0) {
    const more = a.server.accelerators - b.server.accelerators;
    if (more !== 0) return more < 0;
  }
  return a.speed.speed > b.speed.speed;
}

/** What says whether waiting for a faster server is better. */
export interface SlowChoice {
  readonly speed: number;
  /** Mean speed of the servers at work. */
  readonly typicalSpeed: number;
  readonly meanRunMs: Millis;
  /** Tasks that wait at this holder. */
  readonly waiting: number;
  /** Ends per millisecond at this holder; undefined while unknown. */
  readonly endsPerMs: number | undefined;
  readonly waitedMs: Millis;
  /** Share of the time in which nothing waited here. */
  readonly idleShare: number;
}

/**
 * Whether a free slow server is worth a start. The slow run costs its task the
 * difference to a run at typical speed; in return each task behind it starts
 * one slot sooner, and so do those that come until nothing waits any more.
 * That is the longer, the busier the holder is: hence the share of idle time.
 */
export function isWorthStarting(choice: SlowChoice): boolean {
  const slower = 1 / choice.speed - 1 / choice.typicalSpeed;
  const costMs = choice.meanRunMs * slower * choice.idleShare ** 2;
  if (costMs <= 0 || choice.waitedMs >= costMs) return true;
  if (choice.endsPerMs === undefined || choice.endsPerMs <= 0) return true;
  return choice.waiting / choice.endsPerMs >= costMs;
}
