/** What a claim is, and how it stands in the service. */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {
  CompareKind,
  StepKind,
  type Step,
  type StepAnswer,
} from '../key_value/index.js';

const PREFIX = 'goldcrestpier/claims/';

/** The job that an idempotency key stands for. */
export interface Claim {
  /** `zone.instance.nonce.sequence`. */
  readonly session: string;
  /** The job's key within its session. */
  readonly key: string;
}

/** Whose job the key stands for. */
export enum ClaimKind {
  /** The key is now this claim's. */
  Granted = 'granted',
  /** The key was claimed before, perhaps elsewhere. */
  Found = 'found',
}

/** The job that the key stands for from now on. */
export interface ClaimAnswer {
  readonly kind: ClaimKind;
  readonly claim: Claim;
}

const storedClaimSchema = z.object({
  session: z.string(),
  key: z.string(),
  /** Tells one's own claim when the answer to it was lost. */
  nonce: z.string(),
});

/** A claim as it is stored. */
export type StoredClaim = Readonly<z.infer<typeof storedClaimSchema>>;

/** Where the claim of an idempotency key stands. */
export function toClaimKey(idempotencyKey: string): string {
  const digest = createHash('sha256').update(idempotencyKey).digest('hex');
  return `${PREFIX}${digest}`;
}

/** Creates the claim when its key has none, else reads the one that is there. */
export function createClaimStep(
  place: string,
  claim: StoredClaim,
  lease: string,
): Step {
  const value = JSON.stringify(claim);
  return {
    kind: StepKind.Txn,
    compare: [{kind: CompareKind.CreateRevision, key: place, equals: 0}],
    success: [{kind: StepKind.Put, key: place, value, lease}],
    failure: [{kind: StepKind.Get, key: place}],
  };
}

/** Reads the answer to one claim's step; undefined when it is malformed. */
export function readClaimAnswer(
  wanted: StoredClaim,
  answer: StepAnswer | undefined,
): ClaimAnswer | undefined {
  if (answer?.kind !== StepKind.Txn) return undefined;
  const {session, key} = wanted;
  const granted = {kind: ClaimKind.Granted, claim: {session, key}};
  if (answer.succeeded) return granted;
  const [read] = answer.answers;
  const value = read?.kind === StepKind.Get ? read.values[0]?.value : undefined;
  const stored = value === undefined ? undefined : parseClaim(value);
  if (stored === undefined) return undefined;
  if (stored.nonce === wanted.nonce) return granted;
  const claim = {session: stored.session, key: stored.key};
  return {kind: ClaimKind.Found, claim};
}

function parseClaim(value: string): StoredClaim | undefined {
  try {
    return storedClaimSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}
