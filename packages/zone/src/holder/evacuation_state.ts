/**
 * Whether the holder's zone is evacuated. It is read anew before each decision
 * that may start something, as heartbeats and the store change it at any time.
 */
import type {Dispatcher} from '@goldcrestpier/dispatch';
import type {Logger} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';

/** What this instance knows of the evacuation of its zone. */
export interface EvacuationSource {
  /** Whether an evacuation would be known here. */
  readonly isKnown: () => boolean;
  readonly isActive: () => boolean;
}

/** Why a start was withheld. */
export enum WithheldStart {
  /** The command waited to be sent, or to be repeated. */
  Command = 'command',
  /** Another zone delegated the task. */
  Delegated = 'delegated',
}

/** Dependencies of an evacuation state. */
export interface EvacuationStateOptions {
  readonly zone: string;
  readonly evacuation: EvacuationSource;
  readonly dispatcher: Pick<Dispatcher, 'evacuation'>;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
}

/** Passes the state of the evacuation on to the dispatcher. */
export class EvacuationState {
  private isWaitLogged = false;

  constructor(private readonly options: EvacuationStateOptions) {
    options.metrics.isEvacuated.set(0);
    this.refresh();
  }

  /** Reads the state and passes it to the dispatcher; whether nothing may start. */
  refresh(): boolean {
    const {zone, evacuation, dispatcher, logger, metrics} = this.options;
    const isActive = evacuation.isActive();
    if (isActive === dispatcher.evacuation.isActive) return isActive;
    dispatcher.evacuation.update(isActive);
    metrics.isEvacuated.set(isActive ? 1 : 0);
    const change = isActive ? 'evacuation begins' : 'evacuation ends';
    logger.info(change, {zone});
    return isActive;
  }

  /** Whether the first state is known, without which nothing may start. */
  checkKnown(): boolean {
    const {zone, evacuation, logger} = this.options;
    if (evacuation.isKnown()) return true;
    if (!this.isWaitLogged)
      logger.info('waiting to learn whether the zone is evacuated', {zone});
    this.isWaitLogged = true;
    return false;
  }

  /** Whether a start has to be withheld; counts it if so. */
  withholds(start: WithheldStart): boolean {
    if (!this.refresh()) return false;
    this.options.metrics.withheldStarts.inc({start});
    return true;
  }
}
