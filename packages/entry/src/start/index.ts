/** Puts one entry instance together and starts it. */
import {JobOwner} from '@goldcrestpier/jobs';
import {createIncarnation, formatIncarnation} from '@goldcrestpier/protocol';
import {Lifecycle, LogPart, Logs, readClock} from '@goldcrestpier/runtime';
import type {ProcessSettings} from '@goldcrestpier/settings';
import {Ok} from 'ts-results-es';
import {createCallersServer} from '../callers/index.js';
import {createLocalGateway} from '../gateway/local.js';
import {Metrics} from '../metrics/index.js';
import {createDirectPlacement} from './direct_placement.js';
import {listen} from './listen.js';

const PROGRAM = 'goldcrestpier';
const MAX_COPY_AGE_MS = 5_000;

/** A running entry instance. */
export interface Entry {
  readonly incarnation: string;
  /** Ends everything in flight, then closes. */
  stop(): Promise<void>;
}

/** Starts an entry instance. */
export async function startEntry(settings: ProcessSettings): Promise<Entry> {
  const logs = new Logs(PROGRAM, settings.logs.level);
  const logger = logs.forPart(LogPart.Entry);
  const lifecycle = new Lifecycle(PROGRAM);
  const metrics = new Metrics();
  const self = createIncarnation(settings.zone, settings.instance);
  const sink = createDirectPlacement({
    instanceList: settings.platform.instanceList,
    lifecycle,
    onStart: id => owner.noteStart(id),
    onEnd: (id, outcome) => owner.noteEnd(id, outcome, readClock()),
  });
  const owner: JobOwner = new JobOwner({
    self,
    limits: {
      sessionIdleMs: settings.sessions.idleMs,
      maxSessions: settings.sessions.maxSessions,
      maxKeysPerSession: settings.sessions.maxKeys,
      answersKeptMs: settings.jobs.answersKeptMs,
      maxCopyAgeMs: MAX_COPY_AGE_MS,
    },
    sink,
    checkJob: () => Ok(undefined),
    counters: metrics,
    logger: logs.forPart(LogPart.Jobs),
  });
  const callers = createCallersServer({
    gateway: createLocalGateway(owner),
    limits: settings.callers,
    isReady: () => true,
    readMetrics: () => metrics.read(),
    arrivalTime: now => now,
    countRequest: (route, status) => metrics.countRequest(route, status),
    logger: logs.forPart(LogPart.Callers),
  });
  await listen(callers, settings.callers.listen, lifecycle);
  const incarnation = formatIncarnation(self);
  logger.info('serving callers', {incarnation});
  return {
    incarnation,
    async stop() {
      logger.info('stopping', {openJobs: owner.openJobCount});
      await lifecycle.close();
    },
  };
}
