/** One run of one task on one worker. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../work/index.js';
import type {RunProgress} from '../work_estimates/index.js';
import type {RunEnd} from './worker.js';

/** Phase of a run, as far as the holder knows. */
export enum RunPhase {
  /** The start command has been sent. */
  Starting = 'starting',
  /** The worker has confirmed that it runs. */
  Running = 'running',
  /** It has to be stopped, or proved never to start. */
  Stopping = 'stopping',
  /** The worker has confirmed the stop command. */
  StopAccepted = 'stop_taken',
}

/** Why a run counts as ended although its worker never reported an end. */
export enum LossCause {
  /** Its lease expired while the worker refused connections. */
  NotListening = 'not_listening',
  /** Its lease expired while the worker did not answer. */
  Unresponsive = 'unresponsive',
  /** Another incarnation of the worker answered, which has no such run. */
  Restarted = 'restarted',
  /** The worker answered without it. */
  NotReported = 'not_reported',
  /** The time passed by which a stop, or a run elsewhere, has ended. */
  Expired = 'expired',
}

/** How a run ended; a refused one never started. */
export type RunConclusion = RunEnd | LossCause | 'refused';

const lossCauses: ReadonlySet<string> = new Set(Object.values(LossCause));

/** Causes that mean, or most likely mean, that the worker has crashed. */
const crashCauses: ReadonlySet<string> = new Set([
  LossCause.NotListening,
  LossCause.Restarted,
]);

/** Whether the run was lost because its worker has probably crashed. */
export function isCrashLoss(conclusion: RunConclusion): boolean {
  return crashCauses.has(conclusion);
}

/** Whether the run's worker never reported its end. */
export function isLoss(conclusion: RunConclusion): conclusion is LossCause {
  return lossCauses.has(conclusion);
}

/** A run that may use resources on a worker. */
export interface Run {
  /** The ID of the job record that the run belongs to. */
  readonly recordId: string;
  /** The task's name as text. */
  readonly key: string;
  /** Numbers the runs of the task, from 1. */
  readonly number: number;
  readonly workerId: string;
  readonly need: Resources;
  /** Whether its task needs a label, which the worker's kind decides. */
  readonly isBoundToKind: boolean;
  readonly startedAt: Millis;
  /** Expected run time on this worker, in ms. */
  readonly expectedMs: Millis;
  /** Best estimate of its end, by its progress or the time that it has taken. */
  expectedEndAt: Millis;
  /** When a further report may confirm that it can't end in time; else Infinity. */
  recheckAt: Millis;
  /** Earliest time at which it is next considered for a move. */
  judgeAt: Millis;
  /** What its worker has reported of its progress. */
  readonly progress: RunProgress;
  phase: RunPhase;
  /** Whether another run has been on its worker at the same time. */
  isShared: boolean;
  /** Whether its task may run only alone on the worker. */
  isIsolated: boolean;
  /** Whether the start command met a refused connection. */
  isStartRefused: boolean;
  /** Unix time of the start of the worker's incarnation in ms; 0 if unknown. */
  workerBornAt: number;
  /** The zone that runs it; undefined if it was not delegated. */
  delegatedTo: string | undefined;
  /** When the worker confirmed the start; later polls must list the run. */
  confirmedAt: Millis;
  /**
   * Time after which its start command was not sent any more, if none was
   * confirmed; Infinity otherwise.
   */
  startUnansweredAt: Millis;
  /** When a stop command was last sent. */
  stopSentAt: Millis;
  /** When the run has certainly ended, after a stop or with its lease. */
  latestEndAt: Millis;
}
