/** What every call of one client shares. */
import type {FullOptions} from '../client/options.js';
import type {RetryBudget} from '../retry/index.js';
import type {SessionOpener} from '../sessions/index.js';

/** What every call of one client shares. */
export interface ClientContext {
  readonly options: FullOptions;
  readonly sessions: SessionOpener;
  readonly budget: RetryBudget;
}
