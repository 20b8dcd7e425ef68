/**
 * Incarnations that the list never showed here, but whose sessions somebody
 * holds. Most of them had ended before this process started.
 */
import {parseIncarnation, type Incarnation} from '@goldcrestpier/protocol';
import type {Member} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import {BoundedMap} from './bounded_map.js';
import {isSameInstance, type InstanceRecord} from './instance.js';
import type {ListedInstance} from './listing.js';

/** Incarnations remembered since they were asked for. */
const MAX_ASKED = 1_000;

/** Times of the proof that an unknown incarnation has ended. */
export interface UnknownTiming {
  /** How long an older run may answer while it drains, in ms. */
  readonly dropConfirmMs: Millis;
  /** Within this time of its start the list shows every instance, in ms. */
  readonly listLagMs: Millis;
}

/** What came to light since an incarnation was first asked for. */
interface Question {
  readonly identity: Incarnation;
  readonly askedAt: Millis;
  /** First and last of the list's answers without it, in a row. */
  absentSince: Millis | undefined;
  absentUntil: Millis | undefined;
}

/** Tells of unknown incarnations whether they have ended. */
export class UnknownIncarnations {
  private readonly questions = new BoundedMap<string, Question>(MAX_ASKED);

  constructor(private readonly timing: UnknownTiming) {}

  /**
   * Whether the list has gone on without `incarnation` for longer than it
   * lags. It had started before it was first asked for, so it has ended.
   */
  isUnlisted(incarnation: string, now: Millis): boolean {
    const question = this.ask(incarnation, now);
    if (question?.absentSince === undefined) return false;
    const absentUntil = question.absentUntil ?? question.absentSince;
    return absentUntil - question.absentSince >= this.timing.listLagMs;
  }

  /**
   * Whether its instance, as another run, has answered a heartbeat that was
   * sent well after `incarnation` was first asked for; only for one that was
   * never heard, of which nothing else is known.
   */
  isReplaced(
    incarnation: string,
    records: Iterable<InstanceRecord>,
    now: Millis,
  ): boolean {
    const question = this.ask(incarnation, now);
    if (question === undefined) return false;
    const provenFrom = question.askedAt + this.timing.dropConfirmMs;
    for (const {member, answeredSentAt} of records) {
      if (!isSameInstance(member, question.identity)) continue;
      if (answeredSentAt !== undefined && answeredSentAt > provenFrom) {
        return true;
      }
    }
    return false;
  }

  /** Takes one whole answer of the list. */
  noteList(
    entries: readonly ListedInstance[],
    self: Member,
    now: Millis,
  ): void {
    if (this.questions.size === 0) return;
    const zones = new Set(entries.map(({zone}) => zone));
    const shown = new Set(entries.map(nameEntry));
    // A list that leaves this instance out, or all of a zone, proves nothing
    // by leaving out another.
    const showsSelf = shown.has(self.incarnation) || shown.has(nameOf(self));
    if (!showsSelf) return;
    for (const [incarnation, question] of this.questions) {
      if (!zones.has(question.identity.zone)) continue;
      if (shown.has(incarnation) || shown.has(nameOf(question.identity))) {
        question.absentSince = undefined;
        question.absentUntil = undefined;
        continue;
      }
      question.absentSince ??= now;
      question.absentUntil = now;
    }
  }

  /** What is known since the first question; undefined for no incarnation. */
  private ask(incarnation: string, now: Millis): Question | undefined {
    const known = this.questions.get(incarnation);
    const identity = parseIncarnation(incarnation);
    if (known !== undefined || identity === undefined) return known;
    const question = {
      identity,
      askedAt: now,
      absentSince: undefined,
      absentUntil: undefined,
    };
    this.questions.set(incarnation, question);
    return question;
  }
}

/** The incarnation where the list names it, or else the instance. */
function nameEntry({zone, name, incarnation}: ListedInstance): string {
  return incarnation ?? `${zone}/${name}`;
}

function nameOf({zone, instance}: Pick<Member, 'zone' | 'instance'>): string {
  return `${zone}/${instance}`;
}
