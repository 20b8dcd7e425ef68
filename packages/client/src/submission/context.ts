/** The state that all calls of one client share. */
import type {ResolvedClientOptions} from '../client/options.js';
import type {RetryBudget} from '../retry/index.js';
import type {SessionManager} from '../sessions/index.js';

/** The state that all calls of one client share. */
export interface ClientContext {
  readonly options: ResolvedClientOptions;
  readonly sessions: SessionManager;
  readonly budget: RetryBudget;
}
