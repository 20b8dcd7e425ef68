/** Interfaces through which placement reads state and calls other instances. */
import type {Demand, Grants, Member, Settlement} from '@goldcrestpier/peers';
import type {Server} from '@goldcrestpier/platform';
import {
  BackendKind,
  type PlacementTask,
  type Target,
} from '@goldcrestpier/protocol';
import type {EffectiveSettings} from '@goldcrestpier/settings';

/** Current members, servers and settings. All reads are cheap. */
export interface PlacementView {
  /** This instance. */
  readonly self: Member;
  /** The instances currently seen, including this one. */
  members(): readonly Member[];
  /** The backend servers in the instance list. */
  servers(): readonly Server[];
  /** The incarnation that holds a server; undefined if none can. */
  holderOf(server: Server): string | undefined;
  /** The settings in force for one pool. */
  settingsOf(pool: string): EffectiveSettings;
}

/** Calls to other instances by incarnation; a failed call rejects. */
export interface PlacementPeers {
  demand(holder: string, message: Demand): Promise<Grants>;
  settle(holder: string, message: Settlement): Promise<Grants>;
  offer(owner: string, message: Grants): Promise<void>;
}

const WORKER_POOL = 'worker';

/** The pool of servers that can run a task. */
export function poolOf(target: Target): string {
  switch (target.kind) {
    case BackendKind.Runner:
      return `runner/${target.service}`;
    case BackendKind.Worker:
      return WORKER_POOL;
  }
}

/** The kind of a task, by which run times and resource usage are grouped. */
export function kindOf(task: PlacementTask): string {
  const {target} = task;
  switch (target.kind) {
    case BackendKind.Runner:
      return target.service;
    case BackendKind.Worker: {
      const {processors, memoryMb, accelerators} = target.needs;
      return [task.team, processors, memoryMb, accelerators].join('/');
    }
  }
}
