/** Decides which stop and recall commands are due. */
import {ExpiringMap, type Millis} from '@goldcrestpier/runtime';
import {parseTaskName} from '../../work/index.js';
import {RunPhase, type Run, type WorkerRecord} from '../../workers/index.js';
import type {Registry} from '../registry.js';
import type {Command} from '../commands.js';

/** Time after which an unconfirmed stop command is sent again, in ms. */
const STOP_RETRY_MS = 200;
/** Time after a change of holder in which jobs can adopt runs, in ms. */
const ADOPTION_WINDOW_MS = 500;
/** Shortest time in which owners submit their jobs to a new holder, in ms. */
const RESUBMISSION_MS = 200;
/** Added to the lease of orphaned runs, for the stop command, in ms. */
const ORPHAN_STOP_MARGIN_MS = 100;

/** How long unclaimed runs of a cancelled job are looked for, in ms. */
const DISOWNED_RETENTION_MS = 1_000;
/** Maximum number of such jobs. */
const MAX_DISOWNED_JOBS = 10_000;

/** Maximum number of recent stops of a worker's runs that are unconfirmed. */
const MAX_UNCONFIRMED_STOPS = 32;
/** Maximum number of recent recalls of one round that are unconfirmed. */
const MAX_UNCONFIRMED_RECALLS = 64;

/** Stops runs that are no longer wanted, a limited number at a time. */
export class Stopper {
  /** When stops of orphaned runs were last sent, by worker and task name. */
  private readonly orphanStops = new Map<string, Map<string, Millis>>();

  /** Cancelled jobs, of which an earlier holder may have left runs. */
  private readonly disownedJobs = new ExpiringMap<string, true>(
    DISOWNED_RETENTION_MS,
    MAX_DISOWNED_JOBS,
  );

  /**
   * `heldSince` is the time at which this instance became the holder;
   * `unclaimedSince`: since when unclaimed runs are kept, over several changes.
   */
  constructor(
    private readonly registry: Registry,
    private readonly heldSince: Millis,
    readonly unclaimedSince = heldSince,
  ) {}

  /**
   * Lease for a worker's runs until the next poll, in ms; undefined when any of
   * them has to end, as a lease applies to all runs of a worker. The lease of
   * orphaned runs expires soon after they have to be stopped, and is not
   * extended anew by each of several holders that follow each other.
   */
  chooseLease(
    {runs, orphans}: WorkerRecord,
    leaseMs: Millis,
    now: Millis,
  ): Millis | undefined {
    const phases = [...runs.values()].map(({phase}) => phase);
    if (!phases.every(isWantedPhase)) return undefined;
    if (orphans.size === 0) return runs.size > 0 ? leaseMs : undefined;
    if ([...orphans.keys()].some(key => this.isUnwanted(key, now)))
      return undefined;
    const leftMs = this.unclaimedSince + ADOPTION_WINDOW_MS - now;
    if (leftMs <= 0) return undefined;
    return Math.min(leaseMs, leftMs + ORPHAN_STOP_MARGIN_MS);
  }

  /** Stops the runs of a job that an earlier holder left, without a wait. */
  disown(jobId: string, now: Millis): void {
    this.disownedJobs.set(jobId, true, now);
  }

  /** Returns the stop and recall commands that are due. */
  stop(now: Millis): Command[] {
    const commands: Command[] = [];
    this.expireOrphanStops(now);
    const {workers, runEnds} = this.registry;
    const {mayHaveStops} = runEnds;
    runEnds.mayHaveStops = false;
    for (const worker of workers.values()) {
      if (mayHaveStops) this.stopRuns(commands, worker, now);
      this.stopOrphans(commands, worker, now);
    }
    if (mayHaveStops) this.recallDelegatedRuns(commands, now);
    this.recallOrphans(commands, now);
    return commands;
  }

  /** Takes the stops that are due now; the others, if any, are tried again. */
  private takeDue(
    runs: Iterable<Run>,
    limit: number,
    now: Millis,
  ): readonly Run[] {
    const stopping = selectStopping(runs);
    if (stopping.length > 0) this.registry.runEnds.mayHaveStops = true;
    return takeDue(stopping, limit, now);
  }

  /** Whether jobs may still adopt runs that an earlier holder started. */
  private isAdopting(now: Millis): boolean {
    const windowEnd = this.unclaimedSince + ADOPTION_WINDOW_MS;
    return now < Math.max(windowEnd, this.heldSince + RESUBMISSION_MS);
  }

  /** Whether no job may adopt the run of this task any more. */
  private isUnwanted(key: string, now: Millis): boolean {
    if (!this.isAdopting(now)) return true;
    const name = parseTaskName(key);
    return (
      name !== undefined && this.disownedJobs.get(name.jobId, now) === true
    );
  }

  private stopRuns(
    commands: Command[],
    worker: WorkerRecord,
    now: Millis,
  ): void {
    const {runs} = worker;
    if (runs.size === 0) return;
    const workerId = worker.info.id;
    const due = this.takeDue(runs.values(), MAX_UNCONFIRMED_STOPS, now);
    for (const run of due) {
      const {key, number: runNumber} = run;
      commands.push({kind: 'stop', workerId, key, runNumber, run});
    }
  }

  private stopOrphans(
    commands: Command[],
    worker: WorkerRecord,
    now: Millis,
  ): void {
    if (worker.orphans.size === 0) return;
    const workerId = worker.info.id;
    const sent = this.orphanStops.get(workerId) ?? new Map<string, Millis>();
    this.orphanStops.set(workerId, sent);
    for (const [key, runNumber] of worker.orphans) {
      if (sent.size >= MAX_UNCONFIRMED_STOPS) return;
      if (sent.has(key) || !this.isUnwanted(key, now)) continue;
      sent.set(key, now);
      commands.push({kind: 'stop', workerId, key, runNumber, run: undefined});
    }
  }

  private expireOrphanStops(now: Millis): void {
    for (const [workerId, sent] of this.orphanStops) {
      for (const [key, sentAt] of sent) {
        if (now - sentAt >= STOP_RETRY_MS) sent.delete(key);
      }
      if (sent.size === 0) this.orphanStops.delete(workerId);
    }
  }

  /** Recalls the delegated runs of jobs that are about to end. */
  private recallDelegatedRuns(commands: Command[], now: Millis): void {
    const {delegatedRuns} = this.registry;
    const due = this.takeDue(delegatedRuns, MAX_UNCONFIRMED_RECALLS, now);
    for (const run of due) {
      const {delegatedTo: zone, key, number: runNumber} = run;
      if (zone === undefined) continue;
      commands.push({kind: 'recall', zone, key, runNumber, run});
    }
  }

  /** Recalls tasks that an earlier holder delegated and no job has claimed. */
  private recallOrphans(commands: Command[], now: Millis): void {
    const {delegationSurvey} = this.registry;
    const isUnwanted = (key: string) => this.isUnwanted(key, now);
    const due = delegationSurvey.takeRecalls(isUnwanted, now);
    for (const {key, zone, run: runNumber} of due)
      commands.push({kind: 'recall', zone, key, runNumber, run: undefined});
  }
}

/**
 * Takes the runs whose stop is to be sent now, those first that have waited
 * longest, until `limit` stops were sent within `STOP_RETRY_MS`. The others are
 * stopped later, or end with their leases.
 */
function takeDue(
  stopping: readonly Run[],
  limit: number,
  now: Millis,
): readonly Run[] {
  if (stopping.length === 0) return stopping;
  const due = stopping.filter(
    ({stopSentAt}) => now - stopSentAt >= STOP_RETRY_MS,
  );
  const room = Math.max(0, limit - (stopping.length - due.length));
  const sentAt = ({stopSentAt}: Run) => Math.max(stopSentAt, 0);
  if (due.length > room) due.sort((a, b) => sentAt(a) - sentAt(b));
  const taken = due.slice(0, room);
  for (const run of taken) run.stopSentAt = now;
  return taken;
}

function selectStopping(runs: Iterable<Run>): Run[] {
  const stopping: Run[] = [];
  for (const run of runs) {
    if (run.phase === RunPhase.Stopping) stopping.push(run);
  }
  return stopping;
}

function isWantedPhase(phase: RunPhase): boolean {
  switch (phase) {
    case RunPhase.Starting:
    case RunPhase.Running:
      return true;
    case RunPhase.Stopping:
    case RunPhase.StopAccepted:
      return false;
  }
}
