/** Detects state changes that peers have to receive at once. */
import type {TaskHistory} from '@goldcrestpier/dispatch';
import type {Directory} from '../ports/index.js';
import type {Claim} from '../protocol/index.js';
import type {OtherZones} from './other_zones.js';
import type {RoleManager} from './role_manager.js';

/** The part of an instance's state that peers act on. */
export interface AnnouncedState {
  /** The highest claim known. */
  readonly claim: Claim | undefined;
  readonly isLeaving: boolean;
  /** Version of the current configuration. */
  readonly version: number | undefined;
  /** Revision of the evacuated zones; undefined before any evacuation. */
  readonly evacuationRevision: number | undefined;
  /** Revision of the known history of tasks. */
  readonly historyRevision: number;
  /** Revision of the jobs that nobody waits for; undefined if not holder. */
  readonly abandonedRevision: number | undefined;
  /** Revision of the known tokens of other zones' holders. */
  readonly tokensRevision: number;
}

/** What an instance's state is read from. */
export interface StateSources {
  readonly roles: Pick<RoleManager, 'claim' | 'holder'>;
  readonly directory: Directory;
  readonly history: TaskHistory;
  readonly zones: Pick<OtherZones, 'tokensRevision'>;
  readonly isLeaving: boolean;
}

/** Describes the state that peers act on. */
export function describeState({
  roles: {claim, holder},
  directory,
  history,
  zones,
  isLeaving,
}: StateSources): AnnouncedState {
  return {
    claim,
    isLeaving,
    version: directory.configuration()?.version,
    evacuationRevision: directory.evacuatedZones()?.revision,
    historyRevision: history.revision,
    abandonedRevision: holder?.abandonedJobs.revision,
    tokensRevision: zones.tokensRevision,
  };
}

/** Remembers the state that was announced last. */
export class StateChangeDetector {
  private previous: AnnouncedState | undefined;

  /** Whether `state` differs from the one before; it is then remembered. */
  hasChanged(state: AnnouncedState): boolean {
    const {previous} = this;
    this.previous = state;
    if (previous === undefined) return true;
    if (previous.isLeaving !== state.isLeaving) return true;
    if (previous.version !== state.version) return true;
    if (previous.evacuationRevision !== state.evacuationRevision) return true;
    if (previous.historyRevision !== state.historyRevision) return true;
    if (previous.abandonedRevision !== state.abandonedRevision) return true;
    if (previous.tokensRevision !== state.tokensRevision) return true;
    return previous.claim?.token !== state.claim?.token;
  }
}
