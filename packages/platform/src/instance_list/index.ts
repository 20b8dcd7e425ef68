/** The platform's instance list, in Prometheus's HTTP service-discovery form. */
export {
  parseInstanceList,
  type InstanceList,
  type ListedEntry,
  type ParsedList,
  type SkippedTarget,
} from './parse.js';
export {
  InstanceListPoller,
  type PollerOptions,
  type PollReport,
} from './poller.js';
