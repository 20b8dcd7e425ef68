/** Sessions, jobs, attempts and answers, as their owner keeps them. */
export * from './owner/index.js';
export {JobRecord, type JobFigures, type JobHeader} from './record/index.js';
export {
  AdoptedSessions,
  exportSession,
  type HandedAnswer,
  type HandedSession,
} from './handover/index.js';
export {KeyKind, Session, type KeyEntry} from './sessions/index.js';
