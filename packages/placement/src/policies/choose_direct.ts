/**
 * Baselines to measure grants against: each owner chooses by what it sees
 * itself, sends at once, and tries again when the server is busy.
 */
import type {Server} from '@goldcrestpier/platform';
import {PolicyKind} from '@goldcrestpier/settings';

/** The policies that need no grants. */
export type DirectPolicy = Exclude<PolicyKind, PolicyKind.Holding>;

/** What a baseline sees. */
export interface DirectView {
  /** Live servers of the pool that could ever run the task. */
  readonly servers: readonly Server[];
  /** This owner's own starts under way on a server. */
  readonly inFlight: (server: Server) => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Counts up with each choice. */
  readonly turn: number;
}

/** The server that a baseline sends to; undefined when it would rather wait. */
export function chooseDirect(
  policy: DirectPolicy,
  view: DirectView,
): Server | undefined {
  const {servers} = view;
  switch (policy) {
    case PolicyKind.Random:
      return draw(view);
    case PolicyKind.RoundRobin:
      return servers[view.turn % Math.max(servers.length, 1)];
    case PolicyKind.FewestInFlight:
      return rotate(servers, view.turn).reduce<Server | undefined>(
        (best, server) =>
          best === undefined || isLess(view, server, best) ? server : best,
        undefined,
      );
    case PolicyKind.TwoChoices: {
      const first = draw(view);
      const second = draw(view);
      if (first === undefined || second === undefined) return first;
      return isLess(view, second, first) ? second : first;
    }
  }
}

function draw(view: DirectView): Server | undefined {
  return view.servers[Math.floor(view.random() * view.servers.length)];
}

/** Servers that are equal take turns, or all owners would meet at one. */
function rotate(servers: readonly Server[], turn: number): Server[] {
  const start = turn % Math.max(servers.length, 1);
  return [...servers.slice(start), ...servers.slice(0, start)];
}

function isLess(view: DirectView, a: Server, b: Server): boolean {
  return view.inFlight(a) < view.inFlight(b);
}
