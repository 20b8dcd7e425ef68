/**
 * Baseline policies to compare grants with: each owner chooses a server from
 * its local view, sends the task at once, and retries if the server is busy.
 */
import type {Server} from '@goldcrestpier/platform';
import {PolicyKind} from '@goldcrestpier/settings';

/** The policies that work without grants. */
export type DirectPolicy = Exclude<PolicyKind, PolicyKind.Holding>;

/** Local view of one owner, as input of a baseline policy. */
export interface DirectView {
  /** Live servers of the pool that are large enough for the task. */
  readonly servers: readonly Server[];
  /** Number of this owner's starts in flight on a server. */
  readonly inFlight: (server: Server) => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Increases with each choice. */
  readonly turn: number;
}

/** Chooses a server by the given policy; undefined when there is none. */
export function chooseDirect(
  policy: DirectPolicy,
  view: DirectView,
): Server | undefined {
  const {servers} = view;
  switch (policy) {
    case PolicyKind.Random:
      return pickRandom(view);
    case PolicyKind.RoundRobin:
      return servers[view.turn % Math.max(servers.length, 1)];
    case PolicyKind.FewestInFlight:
      return rotate(servers, view.turn).reduce<Server | undefined>(
        (best, server) =>
          best === undefined || hasFewerInFlight(view, server, best)
            ? server
            : best,
        undefined,
      );
    case PolicyKind.TwoChoices: {
      const first = pickRandom(view);
      const second = pickRandom(view);
      if (first === undefined || second === undefined) return first;
      return hasFewerInFlight(view, second, first) ? second : first;
    }
  }
}

function pickRandom(view: DirectView): Server | undefined {
  return view.servers[Math.floor(view.random() * view.servers.length)];
}

/** Rotates the servers; otherwise ties would send all owners to the same one. */
function rotate(servers: readonly Server[], turn: number): Server[] {
  const start = turn % Math.max(servers.length, 1);
  return [...servers.slice(start), ...servers.slice(0, start)];
}

function hasFewerInFlight(view: DirectView, a: Server, b: Server): boolean {
  return view.inFlight(a) < view.inFlight(b);
}
