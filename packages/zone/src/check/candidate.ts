/** A configuration that is checked before it is sent. */
import type {CallerLimits, Queue} from '../ports/index.js';

/** A queue and its position in the operators' document. */
export interface CandidateQueue {
  readonly index: number;
  readonly queue: Queue;
}

/** A service that the document lists; instances don't read these. */
export interface ServiceEntry {
  readonly index: number;
  readonly name: string;
  /** Its other fields, under the names that the document has for them. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The parts of a document that could be decoded. */
export interface Candidate {
  readonly version: number | undefined;
  readonly queues: readonly CandidateQueue[];
  /** Whether queues were left out because they could not be decoded. */
  readonly lacksQueues: boolean;
  readonly services: readonly ServiceEntry[];
  /** Whether services were left out because they could not be decoded. */
  readonly lacksServices: boolean;
  readonly limits: CallerLimits | undefined;
}
