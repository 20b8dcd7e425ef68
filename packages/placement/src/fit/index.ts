/** Matches the resource needs of tasks with the capacity of workers. */
import type {Server} from '@goldcrestpier/platform';
import {BackendKind, type Needs} from '@goldcrestpier/protocol';

/** Total, reserved or free resources of a worker. */
export interface Resources {
  readonly processors: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** Decay per run of the largest measured usage. */
const USAGE_DECAY = 0.98;
/** Maximum number of kinds kept; the least recently used is evicted. */
const MAX_KINDS = 1_024;

/** Whether `needs` fit into the `free` resources. */
export function fits(needs: Resources, free: Resources): boolean {
  return (
    needs.processors <= free.processors &&
    needs.memoryMb <= free.memoryMb &&
    needs.accelerators <= free.accelerators
  );
}

/** Whether the needs fit any of the workers when it is idle. */
export function fitsAnyWorker(
  needs: Needs,
  servers: readonly Server[],
): boolean {
  return servers.some(
    server => server.kind === BackendKind.Worker && fits(needs, server),
  );
}

/** Formats needs for the message of a failure. */
export function describeNeeds(needs: Needs): string {
  return [
    `${needs.processors} processors`,
    `${needs.memoryMb} MB`,
    `${needs.accelerators} accelerators`,
  ].join(', ');
}

/** The measured resource usage of each kind of task. */
export class LearnedNeeds {
  private readonly used = new Map<string, Resources>();

  /** Records the usage of one run. */
  record(kind: string, processors: number, memoryMb: number): void {
    const previous = this.used.get(kind);
    this.used.delete(kind);
    this.used.set(kind, {
      processors: Math.max(
        processors,
        (previous?.processors ?? 0) * USAGE_DECAY,
      ),
      memoryMb: Math.max(memoryMb, (previous?.memoryMb ?? 0) * USAGE_DECAY),
      accelerators: 0,
    });
    if (this.used.size <= MAX_KINDS) return;
    const [oldest] = this.used.keys();
    if (oldest !== undefined) this.used.delete(oldest);
  }

  /**
   * The needs to reserve: the larger of declared and measured. Measured usage
   * counts up to the size of the largest worker.
   */
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
