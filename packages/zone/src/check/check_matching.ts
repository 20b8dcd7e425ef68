/** Finds queues that requests can't reach, and jobs that reach another queue. */
import type {CandidateQueue} from './candidate.js';
import {atQueue, createFinding, FindingCode, type Finding} from './finding.js';

/** Characters of a job's id; their case matters for the prefix. */
const ID_CHARACTERS = '0123456789abcdefABCDEF';
const ID_LENGTH = 16;

/** A name, an IPv4 address, or an IPv6 address in brackets. */
const HOST_PATTERN = /^([a-z0-9._~-]+|\[[0-9a-f:.]+\])$/i;
/** Not in a path: the query is cut off, and the rest ends the request line. */
// eslint-disable-next-line no-control-regex
const NOT_IN_PATH = /[?\u0000-\u0020\u007f]|[^\u0000-\u00ff]/;
/** Clients send these characters percent-encoded. */
const USUALLY_ENCODED = /[#"<>\\^`{|}\u0080-\u00ff]/;

/** Checks which requests the queues match. */
export function checkMatching(queues: readonly CandidateQueue[]): Finding[] {
  return queues.flatMap(entry => [
    ...checkHost(entry),
    ...checkPrefix(entry),
    ...checkOthers(entry, queues),
  ]);
}

function checkHost({index, queue: {host}}: CandidateQueue): Finding[] {
  const place = atQueue(index, 'host');
  if (host === '') return [createFinding(FindingCode.EmptyHost, place, host)];
  if (HOST_PATTERN.test(host)) return [];
  return [createFinding(FindingCode.UnmatchableHost, place, host)];
}

function checkPrefix({index, queue: {prefix}}: CandidateQueue): Finding[] {
  const place = atQueue(index, 'prefix');
  const find = (code: FindingCode) => [createFinding(code, place, prefix)];
  // An empty prefix matches each path, whose leading slash is then in the id.
  if (prefix === '') return find(FindingCode.PrefixWithoutIds);
  if (!prefix.startsWith('/') || NOT_IN_PATH.test(prefix))
    return find(FindingCode.UnmatchablePrefix);
  return [
    ...(USUALLY_ENCODED.test(prefix) ? find(FindingCode.PrefixNotEncoded) : []),
    ...(prefix.endsWith('/') ? [] : find(FindingCode.PrefixWithoutSeparator)),
  ];
}

/** Checks a queue against the others of its host. */
function checkOthers(
  {index, queue}: CandidateQueue,
  queues: readonly CandidateQueue[],
): Finding[] {
  const {host, prefix} = queue;
  const place = atQueue(index, 'prefix');
  const ofHost = queues.filter(other => other.queue.host === host);
  // Of equal prefixes the first one in the document is taken.
  const first = ofHost.find(other => other.queue.prefix === prefix);
  if (first !== undefined && first.index < index) {
    const others = [atQueue(first.index, 'prefix')];
    const against = [first.queue.name];
    const {SameMatch} = FindingCode;
    return [createFinding(SameMatch, place, prefix, against, others)];
  }
  const longer = ofHost.filter(other => takesJobs(other.queue.prefix, prefix));
  if (longer.length === 0) return [];
  const beginnings = longer.map(other =>
    other.queue.prefix.slice(prefix.length),
  );
  const code = areAllTaken('', beginnings)
    ? FindingCode.AllJobsTaken
    : FindingCode.SomeJobsTaken;
  const others = longer.map(other => atQueue(other.index, 'prefix'));
  return [createFinding(code, place, prefix, beginnings, others)];
}

/** Whether `longer` is `prefix` and a beginning of an id. */
function takesJobs(longer: string, prefix: string): boolean {
  if (!longer.startsWith(prefix) || longer === prefix) return false;
  const beginning = longer.slice(prefix.length);
  if (beginning.length > ID_LENGTH) return false;
  return [...beginning].every(character => ID_CHARACTERS.includes(character));
}

/** Whether each id that begins with `start` has one of the beginnings. */
function areAllTaken(start: string, beginnings: readonly string[]): boolean {
  if (beginnings.includes(start)) return true;
  const longer = beginnings.filter(beginning => beginning.startsWith(start));
  if (longer.length < ID_CHARACTERS.length) return false;
  return [...ID_CHARACTERS].every(next => areAllTaken(start + next, longer));
}
