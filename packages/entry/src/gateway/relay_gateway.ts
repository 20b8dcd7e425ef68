/** Routes requests to the owner of their session, locally or at a peer. */
import type {AdoptedSessions, JobOwner} from '@goldcrestpier/jobs';
import {
  RelayAnswerKind,
  type PeerAnswer,
  type RelayAnswer,
} from '@goldcrestpier/peers';
import {
  createFailure,
  FailureCode,
  formatIncarnation,
  parseSessionId,
  type Failure,
  type Incarnation,
} from '@goldcrestpier/protocol';
import {readClock, type Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {
  LocationKind,
  type OwnerDirectory,
  type OwnerLocation,
} from './owner_directory.js';
import {
  createOwnerLostFailure,
  createOwnerUnreachableFailure,
  unwrapPeerAnswer,
} from './peer_results.js';
import type {SessionlessGateway} from './sessionless_gateway.js';
import type {CallerSubmission, Gateway, JobResult, Wait} from './gateway.js';
import {waitForAnswer} from './wait_for_end.js';

/** Time that a relayed call may take in addition to the wait it requests. */
const RELAY_TIMEOUT_MARGIN_MS = 3_000;

/** Dependencies of the relaying gateway. */
export interface RelayOptions {
  readonly owner: JobOwner;
  readonly adopted: AdoptedSessions;
  readonly directory: OwnerDirectory;
  readonly sessionless: SessionlessGateway;
  /** Age at which a copy of a submission is refused. */
  readonly maxCopyAgeMs: Millis;
}

/** Handlers of a request, one for each location of its owner. */
interface RouteHandlers<Value> {
  readonly local: () => Awaitable<Result<Value, Failure>>;
  readonly adopted: () => Result<Value, Failure>;
  readonly peer: (
    location: PeerLocation,
    owner: Incarnation,
  ) => Promise<Result<Value, Failure>>;
}

type PeerLocation = Extract<OwnerLocation, {kind: LocationKind.Peer}>;

type Awaitable<Value> = Value | Promise<Value>;

/** Serves the sessions of this instance and relays requests for others. */
export class RelayGateway implements Gateway {
  constructor(private readonly options: RelayOptions) {}

  /** Opens a session that this instance owns. */
  openSession(now: Millis) {
    return this.options.owner.openSession(now);
  }

  /** Ends a session at its owner. */
  endSession(id: string): Promise<Result<void, Failure>> {
    const {owner, adopted} = this.options;
    const now = readClock();
    return this.route<void>(id, now, {
      local: () => owner.endSession(id, now),
      adopted: () => Ok(adopted.end(id)),
      peer: async ({calls}, ownerIncarnation) => {
        const call = calls.endSession({session: id}, RELAY_TIMEOUT_MARGIN_MS);
        const answer = await unwrapPeerAnswer(call, ownerIncarnation);
        return answer.map(() => undefined);
      },
    });
  }

  /** Submits a job to the owner of its session. */
  submit(submission: CallerSubmission, receivedAt: Millis): Promise<JobResult> {
    const {session, key, attempt, job} = submission;
    const now = readClock();
    const ageMs = now - receivedAt;
    return this.route(session, now, {
      local: () => this.submitLocally(submission, ageMs, now),
      adopted: () => this.options.adopted.submit(session, key, attempt, job),
      peer: (location, owner) =>
        this.submitToPeer(submission, receivedAt, location, owner),
    });
  }

  /** Reads a job at the owner of its session. */
  read(session: string, key: string, wait: Wait): Promise<JobResult> {
    const {owner, adopted} = this.options;
    const now = readClock();
    return this.route(session, now, {
      local: async () => {
        const job = owner.read(session, key, now);
        return job.isErr() ? job : Ok(await waitForAnswer(job.value, wait));
      },
      adopted: () => adopted.read(session, key),
      peer: ({calls}, ownerIncarnation) => {
        const query = {session, key, waitMs: wait.ms};
        const call = calls.read(query, wait.ms + RELAY_TIMEOUT_MARGIN_MS);
        return toJobResult(call, ownerIncarnation);
      },
    });
  }

  /** Cancels a job at the owner of its session. */
  cancel(session: string, key: string): Promise<JobResult> {
    const {owner, adopted} = this.options;
    const now = readClock();
    return this.route(session, now, {
      local: () =>
        owner.cancel(session, key, now).map(record => record.toAnswer()),
      adopted: () => adopted.read(session, key),
      peer: ({calls}, ownerIncarnation) => {
        const query = {session, key, waitMs: 0};
        return toJobResult(
          calls.cancel(query, RELAY_TIMEOUT_MARGIN_MS),
          ownerIncarnation,
        );
      },
    });
  }

  /** Submits a job under an idempotency key, without a session. */
  submitWithoutSession: Gateway['submitWithoutSession'] = (
    key,
    job,
    wait,
    receivedAt,
  ) => this.options.sessionless.submit(this, key, job, wait, receivedAt);

  /** Submits a job to this instance's own session owner. */
  async submitLocally(
    {session, key, attempt, job, wait}: CallerSubmission,
    ageMs: Millis,
    now: Millis,
  ): Promise<JobResult> {
    const received = {session, key, attempt, job, ageMs};
    const accepted = this.options.owner.submit(received, now);
    if (accepted.isErr()) return accepted;
    return Ok(await waitForAnswer(accepted.value, wait));
  }

  private async submitToPeer(
    {session, key, attempt, job, wait}: CallerSubmission,
    receivedAt: Millis,
    {calls, refreshClock}: PeerLocation,
    owner: Incarnation,
  ): Promise<JobResult> {
    // A lower bound for the owner's clock at `receivedAt`, so that the owner
    // does not underestimate the copy's age.
    const ownerClock = await refreshClock(receivedAt);
    const ageMs = readClock() - receivedAt;
    if (ownerClock === undefined || ageMs > this.options.maxCopyAgeMs) {
      return Err(createOwnerUnreachableFailure(owner));
    }
    const message = {session, key, job, ownerClock, waitMs: wait.ms};
    const call = calls.submit(
      attempt === undefined ? message : {...message, attempt},
      wait.ms + RELAY_TIMEOUT_MARGIN_MS,
    );
    return toJobResult(call, owner);
  }

  private async route<Value>(
    session: string,
    now: Millis,
    {local, adopted, peer}: RouteHandlers<Value>,
  ): Promise<Result<Value, Failure>> {
    const owner = parseSessionId(session)?.owner;
    if (owner === undefined) {
      return Err(createFailure(FailureCode.NotFound, {what: 'such session'}));
    }
    if (this.options.adopted.has(session)) return adopted();
    const location = this.options.directory.locate(owner, now);
    switch (location.kind) {
      case LocationKind.Local:
        return local();
      case LocationKind.Adopted:
        return adopted();
      case LocationKind.Peer:
        return peer(location, owner);
      case LocationKind.Gone:
        return Err(createOwnerLostFailure(formatIncarnation(owner)));
      case LocationKind.Unreachable:
        return Err(createOwnerUnreachableFailure(owner));
    }
  }
}

async function toJobResult(
  call: PeerAnswer<RelayAnswer>,
  owner: Incarnation,
): Promise<JobResult> {
  const result = await unwrapPeerAnswer(call, owner);
  if (result.isErr()) return result;
  const answer = result.value;
  switch (answer.kind) {
    case RelayAnswerKind.Job:
      return Ok(answer.answer);
    case RelayAnswerKind.Failure:
      return Err(answer.failure);
    case RelayAnswerKind.Ended:
      return Err(createFailure(FailureCode.InternalFault, {part: 'peers'}));
  }
}
