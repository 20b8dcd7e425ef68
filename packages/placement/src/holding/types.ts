/** Types shared by the modules of the slot allocator. */
import type {GrantEnd} from '@goldcrestpier/peers';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import type {EffectiveSettings} from '@goldcrestpier/settings';
import type {PlacementCounters} from '../counters.js';

/** Options of the allocator of one pool. */
export interface PoolAllocatorOptions {
  readonly pool: string;
  /** Incarnation of this instance. */
  readonly holder: string;
  readonly counters: PlacementCounters;
  readonly logger: Logger;
  readonly settings: () => EffectiveSettings;
  /** Number of instances currently seen, including this one. */
  readonly instanceCount: () => number;
  readonly createGrantId: () => string;
}

/** How one grant ended, as reported by its owner. */
export interface GrantReport {
  readonly grant: string;
  readonly server: string;
  readonly end: GrantEnd;
  readonly runMs: Millis | undefined;
  readonly expectedMs: Millis | undefined;
}
