/** Claims of idempotency keys, for jobs of callers without a session. */
export {ClaimOutcomeKind, type Claim, type ClaimOutcome} from './claim.js';
export {ClaimStore, type ClaimStoreOptions} from './claim_store.js';
