/** Compares a configuration with the version in force. */
import type {CallerLimits, Queue} from '../ports/index.js';
import type {Candidate, ServiceEntry} from './candidate.js';

/** One difference; values of a field are undefined where it is not set. */
export type Difference =
  | {
      readonly kind: 'added' | 'removed';
      readonly part: 'queue';
      readonly name: string;
    }
  | {
      readonly kind: 'added' | 'removed';
      readonly part: 'service';
      readonly name: string;
    }
  | ChangedField<'queue', keyof Queue>
  | ChangedField<'service', string>
  | (Change & {
      readonly kind: 'changed';
      readonly part: 'limit';
      readonly field: keyof CallerLimits;
    });

interface Change {
  readonly before: unknown;
  readonly after: unknown;
}

interface ChangedField<Part, Field> extends Change {
  readonly kind: 'changed';
  readonly part: Part;
  readonly name: string;
  readonly field: Field;
}

/**
 * Lists what differs, in the order of the version in force, then of the new one.
 * An entry that only one side has is left out while the other side lacks entries
 * that could not be decoded: it may be one of these.
 */
export function compareConfigurations(
  before: Candidate,
  after: Candidate,
): Difference[] {
  const queues = pair(
    before.queues.map(({queue}) => queue),
    after.queues.map(({queue}) => queue),
  );
  const services = pair(before.services, after.services);
  return [
    ...queues
      .filter(isCertain(before.lacksQueues, after.lacksQueues))
      .flatMap(compareQueue),
    ...services
      .filter(isCertain(before.lacksServices, after.lacksServices))
      .flatMap(compareService),
    ...compareLimits(before.limits, after.limits),
  ];
}

function isCertain(beforeLacks: boolean, afterLacks: boolean) {
  return ({before, after}: Pair<unknown>) =>
    (before !== undefined || !beforeLacks) &&
    (after !== undefined || !afterLacks);
}

interface Pair<Entry> {
  readonly name: string;
  readonly before: Entry | undefined;
  readonly after: Entry | undefined;
}

/** Pairs entries by name; those of the same name in their order. */
function pair<Entry extends {readonly name: string}>(
  before: readonly Entry[],
  after: readonly Entry[],
): Pair<Entry>[] {
  const unpaired = [...after];
  const pairs = before.map(entry => {
    const position = unpaired.findIndex(({name}) => name === entry.name);
    const [match] = position < 0 ? [] : unpaired.splice(position, 1);
    return {name: entry.name, before: entry, after: match};
  });
  const added = unpaired.map(entry => ({
    name: entry.name,
    before: undefined,
    after: entry,
  }));
  return [...pairs, ...added];
}

function compareQueue({name, before, after}: Pair<Queue>): Difference[] {
  if (before === undefined) return [{kind: 'added', part: 'queue', name}];
  if (after === undefined) return [{kind: 'removed', part: 'queue', name}];
  return listKeys(before, after)
    .filter(field => before[field] !== after[field])
    .map(field => ({
      kind: 'changed',
      part: 'queue',
      name,
      field,
      before: before[field],
      after: after[field],
    }));
}

function compareService({
  name,
  before,
  after,
}: Pair<ServiceEntry>): Difference[] {
  if (before === undefined) return [{kind: 'added', part: 'service', name}];
  if (after === undefined) return [{kind: 'removed', part: 'service', name}];
  const fields = {before: before.fields, after: after.fields};
  return listKeys(fields.before, fields.after)
    .filter(field => !areEqual(fields.before[field], fields.after[field]))
    .map(field => ({
      kind: 'changed',
      part: 'service',
      name,
      field,
      before: fields.before[field],
      after: fields.after[field],
    }));
}

function compareLimits(
  before: CallerLimits | undefined,
  after: CallerLimits | undefined,
): Difference[] {
  if (before === undefined || after === undefined) return [];
  return listKeys(before, after)
    .filter(field => before[field] !== after[field])
    .map(field => ({
      kind: 'changed',
      part: 'limit',
      field,
      before: before[field],
      after: after[field],
    }));
}

function listKeys<Entry extends object>(
  before: Entry,
  after: Entry,
): (keyof Entry & string)[] {
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys] as (keyof Entry & string)[];
}

/** Compares JSON values; the order of an object's keys has no meaning. */
function areEqual(one: unknown, other: unknown): boolean {
  if (one === other) return true;
  if (typeof one !== 'object' || typeof other !== 'object') return false;
  if (one === null || other === null) return false;
  if (Array.isArray(one) !== Array.isArray(other)) return false;
  return listKeys(one, other).every(key => areEqual(one[key], other[key]));
}
