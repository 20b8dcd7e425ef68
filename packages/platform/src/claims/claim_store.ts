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
import {PlatformReason, type PlatformFailure} from '../failure.js';
import type {KeyValueClient, StepAnswer} from '../key_value/index.js';
import {
  createClaimStep,
  readClaimAnswer,
  toClaimKey,
  type Claim,
  type ClaimAnswer,
  type StoredClaim,
} from './claim.js';
import {ClaimLease} from './claim_lease.js';

const NONCE_BYTES = 12;
/** Claims in one call; the service takes 128 steps, nested ones with them. */
const MOST_TOGETHER = 60;
const MOST_WAITING = 10_000;
const MOST_ATTEMPTS = 3;
const ATTEMPT_PAUSE_MS = 50;
/** How long claims are refused at once after the platform did not answer. */
const OUTAGE_PAUSE_MS = 1_000;
/** Calls a second that the claims of all instances together may make. */
const FLEET_CALLS_PER_SECOND = 100;
const MILLIS_PER_SECOND = 1_000;

/** What a claim store is made with. */
export interface ClaimStoreOptions {
  readonly client: KeyValueClient;
  /** For how long a key stands for its job. */
  readonly keptMs: Millis;
  /** How many entry instances there are, to share the calls among them. */
  readonly readFleetSize: () => number;
  readonly logger: Logger;
  readonly lifecycle: Lifecycle;
}

interface WaitingClaim {
  readonly place: string;
  readonly wanted: StoredClaim;
  readonly settle: (answer: Result<ClaimAnswer, Failure>) => void;
}

/**
 * Claims idempotency keys for jobs: the first claim of a key is granted, all
 * others find it. Claims that wait are made together in one call.
 */
export class ClaimStore {
  private readonly waiting: WaitingClaim[] = [];
  private readonly wakeup = new Wakeup();
  private readonly lease: ClaimLease;
  private refusedUntil: Millis = -Infinity;
  private isClosed = false;

  constructor(private readonly options: ClaimStoreOptions) {
    this.lease = new ClaimLease(options.client, options.keptMs);
    const lifecycle = options.lifecycle.createChild('claims');
    lifecycle.run(
      'claims',
      signal => this.serve(signal),
      cause => options.logger.error('claims ended', {cause: String(cause)}),
    );
  }

  /**
   * Claims `idempotencyKey` for `claim`. A failure is a true not run: nobody
   * may start the job on the strength of this call. A claim may stand then
   * nevertheless; whoever finds it asks the owner of its session.
   */
  claim(
    idempotencyKey: string,
    claim: Claim,
    now: Millis,
  ): Promise<Result<ClaimAnswer, Failure>> {
    if (this.isClosed) return Promise.resolve(refuse('this instance ends'));
    if (now < this.refusedUntil) {
      const reason = 'it did not answer a moment ago';
      return Promise.resolve(refuse(reason, this.refusedUntil - now));
    }
    if (this.waiting.length >= MOST_WAITING) {
      return Promise.resolve(refuse(`${MOST_WAITING} claims wait already`));
    }
    const nonce = randomBytes(NONCE_BYTES).toString('hex');
    return new Promise(settle => {
      const place = toClaimKey(idempotencyKey);
      this.waiting.push({place, wanted: {...claim, nonce}, settle});
      this.wakeup.notify();
    });
  }

  private async serve(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const batch = this.takeBatch();
      if (batch.length === 0) {
        await this.wakeup.wait(signal);
        continue;
      }
      const begun = readClock();
      await this.make(batch);
      await sleep(this.findPause(readClock() - begun), signal);
    }
    this.isClosed = true;
    this.refuseWaiting('this instance ends');
  }

  /** One call's worth; one call cannot claim the same key twice. */
  private takeBatch(): WaitingClaim[] {
    const batch = new Map<string, WaitingClaim>();
    const left: WaitingClaim[] = [];
    for (const each of this.waiting.splice(0)) {
      const isFull = batch.size === MOST_TOGETHER;
      if (isFull || batch.has(each.place)) left.push(each);
      else batch.set(each.place, each);
    }
    this.waiting.push(...left);
    return [...batch.values()];
  }

  private async make(batch: readonly WaitingClaim[]): Promise<void> {
    const answers = await this.write(batch);
    if (answers.isErr()) {
      this.noteOutage(answers.error, readClock());
      const reason = `${answers.error.call} ${answers.error.reason}`;
      for (const {settle} of batch) settle(refuse(reason, OUTAGE_PAUSE_MS));
      this.refuseWaiting(reason);
      return;
    }
    const isInTime = this.lease.isInTime(readClock());
    for (const [index, {wanted, settle}] of batch.entries()) {
      const answer = readClaimAnswer(wanted, answers.value[index]);
      if (answer === undefined) settle(refuse('a claim cannot be read'));
      else if (!isInTime) settle(refuse('the claim took too long'));
      else settle(Ok(answer));
    }
  }

  /**
   * Sends the claims until their outcome is known: the same call again finds
   * its own nonces where the one before took effect.
   */
  private async write(
    batch: readonly WaitingClaim[],
  ): Promise<Result<readonly StepAnswer[], PlatformFailure>> {
    let failure: PlatformFailure | undefined;
    for (let attempt = 1; attempt <= MOST_ATTEMPTS; attempt += 1) {
      if (failure !== undefined) await sleep(ATTEMPT_PAUSE_MS);
      const lease = await this.lease.obtain(readClock());
      if (lease.isErr()) {
        failure = lease.error;
        if (failure.mayHaveTakenEffect) continue;
        break;
      }
      const written = await this.options.client.txn({
        compare: [],
        success: batch.map(({place, wanted}) =>
          createClaimStep(place, wanted, lease.value),
        ),
        failure: [],
      });
      if (written.isOk()) return Ok(written.value.answers);
      failure = written.error;
      if (failure.reason === PlatformReason.LeaseGone) this.lease.forget();
      else if (!failure.mayHaveTakenEffect) break;
    }
    return Err(failure ?? createUnreachable());
  }

  private findPause(spentMs: Millis): Millis {
    const share = this.options.readFleetSize() / FLEET_CALLS_PER_SECOND;
    return Math.max(share * MILLIS_PER_SECOND - spentMs, 0);
  }

  private noteOutage(failure: PlatformFailure, now: Millis): void {
    this.refusedUntil = now + OUTAGE_PAUSE_MS;
    const {reason, detail} = failure;
    this.options.logger.warn('claims cannot be made', {reason, detail});
  }

  private refuseWaiting(reason: string): void {
    for (const {settle} of this.waiting.splice(0)) {
      settle(refuse(reason, OUTAGE_PAUSE_MS));
    }
  }
}

function refuse(reason: string, retryAfterMs = OUTAGE_PAUSE_MS): Err<Failure> {
  const code = FailureCode.PlatformUnavailable;
  return Err(createFailure(code, {reason}, {retryAfterMs}));
}

function createUnreachable(): PlatformFailure {
  return {
    reason: PlatformReason.Unreachable,
    call: 'kv/txn',
    detail: 'no attempt was made',
    mayHaveTakenEffect: false,
  };
}
