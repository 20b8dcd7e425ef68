/** In-memory state of the sessions and jobs that this instance owns. */
export * from './owner/index.js';
export {JobRecord, type JobSummary, type JobHeader} from './record/index.js';
export {
  AdoptedSessions,
  exportSession,
  type ExportedAnswer,
  type ExportedSession,
} from './handover/index.js';
export {KeyKind, Session, type KeyEntry} from './sessions/index.js';
