/** Shapes that the parts of a holder share. */
import type {GrantEnd} from '@goldcrestpier/peers';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import type {EffectiveSettings} from '@goldcrestpier/settings';
import type {PlacementCounters} from '../counters.js';

/** What a pool of held servers needs from its surroundings. */
export interface HeldPoolParts {
  readonly pool: string;
  readonly holder: string;
  readonly counters: PlacementCounters;
  readonly logger: Logger;
  readonly settings: () => EffectiveSettings;
  /** Instances seen, this one with them. */
  readonly memberCount: () => number;
  readonly createGrantId: () => string;
}

/** How one grant ended, as its owner tells it. */
export interface GrantReport {
  readonly grant: string;
  readonly server: string;
  readonly end: GrantEnd;
  readonly runMs: Millis | undefined;
  readonly expectedMs: Millis | undefined;
}
