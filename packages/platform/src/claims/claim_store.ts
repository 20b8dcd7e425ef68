import {randomBytes} from 'node:crypto';
import {
  createFailure,
  FailureCode,
  type Failure,
} from '@goldcrestpier/protocol';
import {
  readClock,
  sleep,
  Wakeup,
  type Lifecycle,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {PlatformFailureReason, type PlatformFailure} from '../failure.js';
import type {KeyValueClient, StepResult} from '../key_value/index.js';
import {
  createClaimStep,
  parseClaimResult,
  toStorageKey,
  type Claim,
  type ClaimOutcome,
  type StoredClaim,
} from './claim.js';
import {ClaimLease} from './claim_lease.js';

const NONCE_BYTES = 12;
/** The service accepts 128 steps per call, counting nested ones. */
const MAX_BATCH_CLAIMS = 60;
const MAX_PENDING_CLAIMS = 10_000;
const MAX_ATTEMPTS = 3;
const RETRY_DELAY_MS = 50;
/** How long claims are refused without a call after the platform failed. */
const OUTAGE_COOLDOWN_MS = 1_000;
/** Limit on the claim calls per second of all instances together. */
const MAX_FLEET_CALLS_PER_SECOND = 100;
const MILLIS_PER_SECOND = 1_000;

/** Options of a `ClaimStore`. */
export interface ClaimStoreOptions {
  readonly client: KeyValueClient;
  /** Minimum time for which a key identifies its job. */
  readonly retentionMs: Millis;
  /** Number of entry instances, which share the call limit. */
  readonly readFleetSize: () => number;
  readonly logger: Logger;
  readonly lifecycle: Lifecycle;
}

interface PendingClaim {
  readonly storageKey: string;
  readonly requested: StoredClaim;
  readonly settle: (outcome: Result<ClaimOutcome, Failure>) => void;
}

/**
 * Claims idempotency keys for jobs: the first claim of a key is granted, and
 * later ones return it. Pending claims are batched into one call.
 */
export class ClaimStore {
  private readonly pending: PendingClaim[] = [];
  private readonly wakeup = new Wakeup();
  private readonly lease: ClaimLease;
  private refusalEndsAt: Millis = -Infinity;
  private isClosed = false;

  constructor(private readonly options: ClaimStoreOptions) {
    this.lease = new ClaimLease(options.client, options.retentionMs);
    const lifecycle = options.lifecycle.createChild('claims');
    lifecycle.run(
      'claims',
      signal => this.processPending(signal),
      cause =>
        options.logger.error('claim processing failed', {cause: String(cause)}),
    );
  }

  /**
   * Claims `idempotencyKey` for `claim`. A failure means that the job was not
   * run, and the caller must not start it. The claim may have been stored
   * nevertheless; a later claim that finds it asks the owner of its session.
   */
  claim(
    idempotencyKey: string,
    claim: Claim,
    now: Millis,
  ): Promise<Result<ClaimOutcome, Failure>> {
    if (this.isClosed) return Promise.resolve(refuse('this instance ends'));
    if (now < this.refusalEndsAt) {
      const reason = 'it did not answer a moment ago';
      return Promise.resolve(refuse(reason, this.refusalEndsAt - now));
    }
    if (this.pending.length >= MAX_PENDING_CLAIMS) {
      return Promise.resolve(
        refuse(`${MAX_PENDING_CLAIMS} claims wait already`),
      );
    }
    const nonce = randomBytes(NONCE_BYTES).toString('hex');
    return new Promise(settle => {
      const storageKey = toStorageKey(idempotencyKey);
      this.pending.push({
        storageKey,
        requested: {...claim, nonce},
        settle,
      });
      this.wakeup.notify();
    });
  }

  private async processPending(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const batch = this.takeBatch();
      if (batch.length === 0) {
        await this.wakeup.wait(signal);
        continue;
      }
      const startedAt = readClock();
      await this.processBatch(batch);
      await sleep(this.computeDelayMs(readClock() - startedAt), signal);
    }
    this.isClosed = true;
    this.refusePending('this instance ends');
  }

  /** Takes the claims of one call, which cannot claim the same key twice. */
  private takeBatch(): PendingClaim[] {
    const batch = new Map<string, PendingClaim>();
    const deferred: PendingClaim[] = [];
    for (const candidate of this.pending.splice(0)) {
      const isFull = batch.size === MAX_BATCH_CLAIMS;
      if (isFull || batch.has(candidate.storageKey)) deferred.push(candidate);
      else batch.set(candidate.storageKey, candidate);
    }
    this.pending.push(...deferred);
    return [...batch.values()];
  }

  private async processBatch(batch: readonly PendingClaim[]): Promise<void> {
    const results = await this.writeBatch(batch);
    if (results.isErr()) {
      this.startCooldown(results.error, readClock());
      const reason = `${results.error.call} ${results.error.reason}`;
      for (const {settle} of batch) settle(refuse(reason, OUTAGE_COOLDOWN_MS));
      this.refusePending(reason);
      return;
    }
    const isWrittenInTime = this.lease.isWrittenInTime(readClock());
    for (const [index, {requested, settle}] of batch.entries()) {
      const outcome = parseClaimResult(requested, results.value[index]);
      if (outcome === undefined) settle(refuse('a claim cannot be read'));
      else if (!isWrittenInTime) settle(refuse('the claim took too long'));
      else settle(Ok(outcome));
    }
  }

  /**
   * Sends the claims until their outcome is known, `MAX_ATTEMPTS` times at most.
   * A retry recognizes claims that an earlier attempt stored by their nonces.
   */
  private async writeBatch(
    batch: readonly PendingClaim[],
  ): Promise<Result<readonly StepResult[], PlatformFailure>> {
    let failure: PlatformFailure | undefined;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      if (failure !== undefined) await sleep(RETRY_DELAY_MS);
      const lease = await this.lease.obtain(readClock());
      if (lease.isErr()) {
        failure = lease.error;
        if (failure.mayHaveTakenEffect) continue;
        break;
      }
      const written = await this.options.client.txn({
        compare: [],
        success: batch.map(({storageKey, requested}) =>
          createClaimStep(storageKey, requested, lease.value),
        ),
        failure: [],
      });
      if (written.isOk()) return Ok(written.value.results);
      failure = written.error;
      if (failure.reason === PlatformFailureReason.LeaseGone)
        this.lease.forget();
      else if (!failure.mayHaveTakenEffect) break;
    }
    return Err(failure ?? createUnreachableFailure());
  }

  private computeDelayMs(spentMs: Millis): Millis {
    const intervalSeconds =
      this.options.readFleetSize() / MAX_FLEET_CALLS_PER_SECOND;
    return Math.max(intervalSeconds * MILLIS_PER_SECOND - spentMs, 0);
  }

  private startCooldown(failure: PlatformFailure, now: Millis): void {
    this.refusalEndsAt = now + OUTAGE_COOLDOWN_MS;
    const {reason, detail} = failure;
    this.options.logger.warn('failed to write claims', {reason, detail});
  }

  private refusePending(reason: string): void {
    for (const {settle} of this.pending.splice(0)) {
      settle(refuse(reason, OUTAGE_COOLDOWN_MS));
    }
  }
}

function refuse(
  reason: string,
  retryAfterMs = OUTAGE_COOLDOWN_MS,
): Err<Failure> {
  const code = FailureCode.PlatformUnavailable;
  return Err(createFailure(code, {reason}, {retryAfterMs}));
}

function createUnreachableFailure(): PlatformFailure {
  return {
    reason: PlatformFailureReason.Unreachable,
    call: 'kv/txn',
    detail: 'no attempt was made',
    mayHaveTakenEffect: false,
  };
}
