/** Takes requests to the owner of their session, here or at a peer. */
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
  OwnerPlace,
  type OwnerDirectory,
  type OwnerLocation,
} from './directory.js';
import {describeLost, describeUnreachable, unwrap} from './peer_answer.js';
import type {PlainGateway} from './plain.js';
import type {CallerSubmission, Gateway, JobReply, Wait} from './types.js';
import {awaitAnswer} from './wait.js';

/** How long a relayed call may take beyond the wait it asks for. */
const RELAY_MARGIN_MS = 3_000;

/** What the relaying gateway is given. */
export interface RelayOptions {
  readonly owner: JobOwner;
  readonly adopted: AdoptedSessions;
  readonly directory: OwnerDirectory;
  readonly plain: PlainGateway;
  /** The longest that a copy of a submission may live inside the system. */
  readonly maxCopyAgeMs: Millis;
}

/** What to do at each place where an owner can be reached. */
interface Destinations<Value> {
  readonly here: () => Awaitable<Result<Value, Failure>>;
  readonly adopted: () => Result<Value, Failure>;
  readonly peer: (
    place: PeerPlace,
    owner: Incarnation,
  ) => Promise<Result<Value, Failure>>;
}

type PeerPlace = Extract<OwnerLocation, {kind: OwnerPlace.Peer}>;

type Awaitable<Value> = Value | Promise<Value>;

/** Serves sessions of this instance and relays those of its peers. */
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
      here: () => owner.endSession(id, now),
      adopted: () => Ok(adopted.end(id)),
      peer: async ({calls}, identity) => {
        const call = calls.endSession({session: id}, RELAY_MARGIN_MS);
        const answer = await unwrap(call, identity);
        return answer.map(() => undefined);
      },
    });
  }

  /** Submits a job to the owner of its session. */
  submit(submission: CallerSubmission, receivedAt: Millis): Promise<JobReply> {
    const {session, key, attempt, job} = submission;
    const now = readClock();
    const ageMs = now - receivedAt;
    return this.route(session, now, {
      here: () => this.submitHere(submission, ageMs, now),
      adopted: () => this.options.adopted.submit(session, key, attempt, job),
      peer: (place, owner) =>
        this.submitToPeer(submission, receivedAt, place, owner),
    });
  }

  /** Reads a job at the owner of its session. */
  read(session: string, key: string, wait: Wait): Promise<JobReply> {
    const {owner, adopted} = this.options;
    const now = readClock();
    return this.route(session, now, {
      here: async () => {
        const job = owner.read(session, key, now);
        return job.isErr() ? job : Ok(await awaitAnswer(job.value, wait));
      },
      adopted: () => adopted.read(session, key),
      peer: ({calls}, identity) => {
        const query = {session, key, waitMs: wait.ms};
        const call = calls.read(query, wait.ms + RELAY_MARGIN_MS);
        return toReply(call, identity);
      },
    });
  }

  /** Cancels a job at the owner of its session. */
  cancel(session: string, key: string): Promise<JobReply> {
    const {owner, adopted} = this.options;
    const now = readClock();
    return this.route(session, now, {
      here: () =>
        owner.cancel(session, key, now).map(record => record.toAnswer()),
      adopted: () => adopted.read(session, key),
      peer: ({calls}, identity) => {
        const query = {session, key, waitMs: 0};
        return toReply(calls.cancel(query, RELAY_MARGIN_MS), identity);
      },
    });
  }

  /** A submission under an idempotency key, without a session. */
  submitPlain: Gateway['submitPlain'] = (key, job, wait, receivedAt) =>
    this.options.plain.submit(this, key, job, wait, receivedAt);

  /** Submits to this instance's own owner. */
  async submitHere(
    {session, key, attempt, job, wait}: CallerSubmission,
    ageMs: Millis,
    now: Millis,
  ): Promise<JobReply> {
    const arrived = {session, key, attempt, job, ageMs};
    const accepted = this.options.owner.submit(arrived, now);
    if (accepted.isErr()) return accepted;
    return Ok(await awaitAnswer(accepted.value, wait));
  }

  private async submitToPeer(
    {session, key, attempt, job, wait}: CallerSubmission,
    receivedAt: Millis,
    {calls, learnClock}: PeerPlace,
    owner: Incarnation,
  ): Promise<JobReply> {
    // Never later than the owner's clock was when the copy was received.
    const ownerClock = await learnClock(receivedAt);
    const ageMs = readClock() - receivedAt;
    if (ownerClock === undefined || ageMs > this.options.maxCopyAgeMs) {
      return Err(describeUnreachable(owner));
    }
    const message = {session, key, job, ownerClock, waitMs: wait.ms};
    const call = calls.submit(
      attempt === undefined ? message : {...message, attempt},
      wait.ms + RELAY_MARGIN_MS,
    );
    return toReply(call, owner);
  }

  private async route<Value>(
    session: string,
    now: Millis,
    {here, adopted, peer}: Destinations<Value>,
  ): Promise<Result<Value, Failure>> {
    const owner = parseSessionId(session)?.owner;
    if (owner === undefined) {
      return Err(createFailure(FailureCode.NotFound, {what: 'such session'}));
    }
    if (this.options.adopted.has(session)) return adopted();
    const place = this.options.directory.locate(owner, now);
    switch (place.kind) {
      case OwnerPlace.Here:
        return here();
      case OwnerPlace.Adopted:
        return adopted();
      case OwnerPlace.Peer:
        return peer(place, owner);
      case OwnerPlace.Gone:
        return Err(describeLost(formatIncarnation(owner)));
      case OwnerPlace.Unreachable:
        return Err(describeUnreachable(owner));
    }
  }
}

async function toReply(
  call: PeerAnswer<RelayAnswer>,
  owner: Incarnation,
): Promise<JobReply> {
  const result = await unwrap(call, owner);
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
