/** Idempotency keys of plain callers, claimed for one job each. */
export {ClaimKind, type Claim, type ClaimAnswer} from './claim.js';
export {ClaimStore, type ClaimStoreOptions} from './claim_store.js';
