/** What placement sees of the system around it, and asks of it. */
import type {Demand, Grants, Member, Settlement} from '@goldcrestpier/peers';
import type {Server} from '@goldcrestpier/platform';
import {
  BackendKind,
  type PlacedTask,
  type Target,
} from '@goldcrestpier/protocol';
import type {EffectiveSettings} from '@goldcrestpier/settings';

/** The present members, servers and settings. Each read is cheap. */
export interface PlacementView {
  /** This instance. */
  readonly self: Member;
  /** The instances that are seen at present, this one with them. */
  members(): readonly Member[];
  /** The backend servers of the instance list. */
  servers(): readonly Server[];
  /** The incarnation that holds a server; undefined when none can. */
  holderOf(server: Server): string | undefined;
  /** The settings in force for one pool. */
  settingsOf(pool: string): EffectiveSettings;
}

/** Calls to other instances, by incarnation. They reject when one fails. */
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

/** The kind of task, for estimates: tasks of one kind resemble each other. */
export function kindOf(task: PlacedTask): string {
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
