/** The platform's instance list, in the format of Prometheus HTTP discovery. */
export {
  parseInstanceList,
  type InstanceList,
  type ListedEntry,
  type ParsedList,
  type SkippedTarget,
} from './parse.js';
export {
  InstanceListPoller,
  type InstanceListPollerOptions,
  type PollReport,
} from './poller.js';
