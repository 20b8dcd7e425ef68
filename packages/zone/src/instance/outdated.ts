/** The answer to a holder that another one has followed. */
import {RefusalReason} from '@goldcrestpier/dispatch';

/** Nothing was started; the holder itself will be told by its workers. */
export const outdated = {
  kind: 'refused',
  reason: RefusalReason.Outdated,
  retryAfterMs: 0,
} as const;
