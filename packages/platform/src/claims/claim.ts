/** Claims of idempotency keys, and how they are stored in the service. */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {
  ComparisonKind,
  StepKind,
  type Step,
  type StepResult,
} from '../key_value/index.js';

const PREFIX = 'goldcrestpier/claims/';

/** The job that an idempotency key identifies. */
export interface Claim {
  /** `zone.instance.nonce.sequence`. */
  readonly session: string;
  /** The job's key within its session. */
  readonly key: string;
}

/** Whether a claim of a key succeeded. */
export enum ClaimOutcomeKind {
  /** The key identifies the job of this claim. */
  Granted = 'granted',
  /** The key was claimed before, by this instance or another one. */
  AlreadyClaimed = 'found',
}

/** The outcome of a claim, with the job that the key identifies. */
export interface ClaimOutcome {
  readonly kind: ClaimOutcomeKind;
  readonly claim: Claim;
}

const storedClaimSchema = z.object({
  session: z.string(),
  key: z.string(),
  /** Lets a retry recognize its own claim if the first response was lost. */
  nonce: z.string(),
});

/** A claim as it is stored. */
export type StoredClaim = Readonly<z.infer<typeof storedClaimSchema>>;

/** Returns the key under which the claim of an idempotency key is stored. */
export function toStorageKey(idempotencyKey: string): string {
  const digest = createHash('sha256').update(idempotencyKey).digest('hex');
  return `${PREFIX}${digest}`;
}

/** Creates a step that stores the claim, or reads the one that exists. */
export function createClaimStep(
  storageKey: string,
  claim: StoredClaim,
  lease: string,
): Step {
  const value = JSON.stringify(claim);
  return {
    kind: StepKind.Txn,
    compare: [
      {kind: ComparisonKind.CreateRevision, key: storageKey, equals: 0},
    ],
    success: [{kind: StepKind.Put, key: storageKey, value, lease}],
    failure: [{kind: StepKind.Get, key: storageKey}],
  };
}

/** Parses the result of a claim's step; undefined if it is malformed. */
export function parseClaimResult(
  requested: StoredClaim,
  result: StepResult | undefined,
): ClaimOutcome | undefined {
  if (result?.kind !== StepKind.Txn) return undefined;
  const {session, key} = requested;
  const granted = {kind: ClaimOutcomeKind.Granted, claim: {session, key}};
  if (result.succeeded) return granted;
  const [getResult] = result.results;
  const value =
    getResult?.kind === StepKind.Get ? getResult.values[0]?.value : undefined;
  const stored = value === undefined ? undefined : parseClaim(value);
  if (stored === undefined) return undefined;
  if (stored.nonce === requested.nonce) return granted;
  const claim = {session: stored.session, key: stored.key};
  return {kind: ClaimOutcomeKind.AlreadyClaimed, claim};
}

function parseClaim(value: string): StoredClaim | undefined {
  try {
    return storedClaimSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}
