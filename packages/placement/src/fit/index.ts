/** Whether a task's needs fit a guarded worker. */
import type {Server} from '@goldcrestpier/platform';
import {BackendKind, type Needs} from '@goldcrestpier/protocol';

/** What is offered, reserved or free of a worker. */
export interface Resources {
  readonly processors: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** Fading of the largest use seen, for each further run. */
const FADE = 0.98;
/** Kinds that are remembered; the one unused for longest goes first. */
const MAX_KINDS = 1_024;

/** Whether `needs` fit into `free`. */
export function fits(needs: Resources, free: Resources): boolean {
  return (
    needs.processors <= free.processors &&
    needs.memoryMb <= free.memoryMb &&
    needs.accelerators <= free.accelerators
  );
}

/** Whether any worker of the fleet, empty, could ever meet the needs. */
export function fitsFleet(needs: Needs, servers: readonly Server[]): boolean {
  return servers.some(
    server => server.kind === BackendKind.Worker && fits(needs, server),
  );
}

/** The needs in words, for a failure's message. */
export function describeNeeds(needs: Needs): string {
  return [
    `${needs.processors} processors`,
    `${needs.memoryMb} MB`,
    `${needs.accelerators} accelerators`,
  ].join(', ');
}

/** What tasks of each kind really used. */
export class LearnedNeeds {
  private readonly used = new Map<string, Resources>();

  /** Learns from one run. */
  record(kind: string, processors: number, memoryMb: number): void {
    const before = this.used.get(kind);
    this.used.delete(kind);
    this.used.set(kind, {
      processors: Math.max(processors, (before?.processors ?? 0) * FADE),
      memoryMb: Math.max(memoryMb, (before?.memoryMb ?? 0) * FADE),
      accelerators: 0,
    });
    if (this.used.size <= MAX_KINDS) return;
    const [oldest] = this.used.keys();
    if (oldest !== undefined) this.used.delete(oldest);
  }

  /** The larger of declared and measured, bounded to what a worker has. */
  reserve(kind: string, declared: Needs, largest: Resources): Needs {
    const used = this.used.get(kind);
    if (used === undefined) return declared;
    return {
      processors: Math.max(
        declared.processors,
        Math.min(Math.ceil(used.processors), largest.processors),
      ),
      memoryMb: Math.max(
        declared.memoryMb,
        Math.min(Math.ceil(used.memoryMb), largest.memoryMb),
      ),
      accelerators: declared.accelerators,
    };
  }
}
