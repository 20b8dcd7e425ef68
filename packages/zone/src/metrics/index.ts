/** Prometheus metrics of one instance. */
import type {Outcome} from '@goldcrestpier/dispatch';
import {readClock, type Millis} from '@goldcrestpier/runtime';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

const MILLIS_PER_SECOND = 1_000;
const JOB_SECONDS_BUCKETS = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];
const LOOP_DELAY_BUCKETS = [0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6];

/** The metrics of one instance. */
export class ZoneMetrics {
  private readonly registry = new Registry();
  /** Callers' requests, by method and status. */
  readonly requests = this.createCounter(
    'goldcrestpier_requests_total',
    'Requests answered on the callers listener.',
    ['method', 'status'],
  );
  readonly refusals = this.createCounter(
    'goldcrestpier_refusals_total',
    'Jobs refused, by reason.',
    ['reason'],
  );
  readonly unsubmitted = this.createCounter(
    'goldcrestpier_unsubmitted_total',
    'Jobs that were read but not submitted, by reason.',
    ['reason'],
  );
  readonly closedClients = this.createCounter(
    'goldcrestpier_clients_closed_total',
    'Connections of callers closed by a limit, by reason.',
    ['reason'],
  );
  readonly pausedClients = this.createCounter(
    'goldcrestpier_clients_paused_total',
    'Times that reading from a connection stopped until its requests end.',
    [],
  );
  readonly abandoned = this.createCounter(
    'goldcrestpier_abandoned_total',
    'Jobs abandoned after one of their tasks was started, by reason.',
    ['reason'],
  );
  readonly jobs = this.createCounter(
    'goldcrestpier_jobs_ended_total',
    'Jobs ended at the holder, by outcome.',
    ['outcome'],
  );
  readonly starts = this.createCounter(
    'goldcrestpier_starts_total',
    'Requests to workers to start a task, by answer.',
    ['answer'],
  );
  readonly runs = this.createCounter(
    'goldcrestpier_runs_ended_total',
    'Runs of tasks, by how they ended; all but those that are done are retried.',
    ['end'],
  );
  readonly lostRuns = this.createCounter(
    'goldcrestpier_runs_lost_total',
    'Runs whose worker never reported an end, by cause.',
    ['cause'],
  );
  readonly taskCrashes = this.createCounter(
    'goldcrestpier_task_crashes_total',
    'Tasks that were running when their worker crashed, by what the crashes of a task say about it.',
    ['verdict'],
  );
  readonly crashingTasks = this.createCounter(
    'goldcrestpier_crashing_tasks_total',
    'Jobs failed because several workers crashed under one of their tasks.',
    [],
  );
  readonly movedRuns = this.createCounter(
    'goldcrestpier_moved_runs_total',
    'Late runs that were stopped to run elsewhere.',
    [],
  );
  readonly overlongJobs = this.createCounter(
    'goldcrestpier_overlong_jobs_total',
    'Jobs ended because a run could not end before the deadline.',
    [],
  );
  readonly blockedJobs = this.createCounter(
    'goldcrestpier_blocked_jobs_total',
    'Jobs ended because a start of a task got no answer and may come late.',
    [],
  );
  readonly forgottenStarts = this.createCounter(
    'goldcrestpier_forgotten_starts_total',
    'Unanswered starts forgotten too early, as there were too many.',
    [],
  );
  readonly plannedStarts = this.createCounter(
    'goldcrestpier_planned_starts_total',
    'Tasks placed with regard to waiting tasks of other sizes.',
    ['kind'],
  );
  readonly strikes = this.createCounter(
    'goldcrestpier_worker_strikes_total',
    'Faults recorded for workers, by reason.',
    ['reason'],
  );
  readonly ejections = this.createCounter(
    'goldcrestpier_worker_ejections_total',
    'Workers ejected temporarily, by the reason of the last strike.',
    ['reason'],
  );
  readonly failedPolls = this.createCounter(
    'goldcrestpier_looks_failed_total',
    'Failed polls of workers, by reason.',
    ['reason'],
  );
  readonly confirmations = this.createCounter(
    'goldcrestpier_workers_confirmed_total',
    'Polls of idle workers before a start, by what they showed.',
    ['result'],
  );
  readonly resubmissions = this.createCounter(
    'goldcrestpier_resubmissions_total',
    'Jobs resubmitted to a holder, by reason.',
    ['reason'],
  );
  readonly delegations = this.createCounter(
    'goldcrestpier_lent_total',
    'Tasks delegated to other zones, by outcome.',
    ['outcome'],
  );
  readonly earlyAnswers = this.createCounter(
    'goldcrestpier_early_answers_total',
    'Callers told 504 while runs of their job may go on, by reason.',
    ['reason'],
  );
  readonly joinsNotFound = this.createCounter(
    'goldcrestpier_joins_not_found_total',
    'Requests of other zones for the result of a run that is unknown here.',
    [],
  );
  readonly failedRecalls = this.createCounter(
    'goldcrestpier_recalls_failed_total',
    'Recalls of delegated tasks that no holder accepted, by reason.',
    ['reason'],
  );
  readonly untoldAbandonedJobs = this.createCounter(
    'goldcrestpier_abandoned_jobs_left_out_total',
    'Jobs that run on though nobody waits for them, left out of a full list.',
    [],
  );
  readonly retries = this.createCounter(
    'goldcrestpier_orders_retried_total',
    'Retried requests to workers, by kind of request and reason.',
    ['order', 'reason'],
  );
  readonly roles = this.createCounter(
    'goldcrestpier_role_changes_total',
    "Changes of this instance's role, by the new role.",
    ['role'],
  );
  readonly storeCalls = this.createCounter(
    'goldcrestpier_store_calls_total',
    'Calls to the platform store, by call and result.',
    ['call', 'result'],
  );
  readonly malformedEntries = this.createCounter(
    'goldcrestpier_malformed_entries_total',
    'Entries of the platform store that could not be decoded, by key prefix.',
    ['prefix'],
  );
  readonly withheldStarts = this.createCounter(
    'goldcrestpier_evacuation_withheld_total',
    'Starts withheld at the holder of an evacuated zone, by kind of start.',
    ['start'],
  );
  readonly isEvacuated = new Gauge({
    name: 'goldcrestpier_evacuated',
    help: '1 at the holder of an evacuated zone, otherwise 0.',
    registers: [this.registry],
  });
  readonly isReady = new Gauge({
    name: 'goldcrestpier_ready',
    help: '1 while this instance accepts new connections, otherwise 0.',
    registers: [this.registry],
  });
  readonly loopDelaySeconds = new Histogram({
    name: 'goldcrestpier_loop_delay_seconds',
    help: 'Delay of a periodic step of this instance after its due time.',
    buckets: LOOP_DELAY_BUCKETS,
    registers: [this.registry],
  });
  readonly jobSeconds = new Histogram({
    name: 'goldcrestpier_job_seconds',
    help: "Time from a job's arrival to its answer, by outcome.",
    labelNames: ['outcome'],
    buckets: JOB_SECONDS_BUCKETS,
    registers: [this.registry],
  });

  /** Counts the outcome of a job, with its reason. */
  countOutcome(outcome: Outcome): void {
    this.jobs.inc({outcome: outcome.kind});
    if (outcome.kind === 'refused') this.refusals.inc({reason: outcome.reason});
    if (outcome.kind === 'abandoned') {
      this.abandoned.inc({reason: outcome.reason});
    }
  }

  /** Registers a gauge of the age of the data read from each store prefix. */
  registerStoreAge(
    readAges: (now: Millis) => ReadonlyMap<string, Millis | undefined>,
  ): void {
    new Gauge({
      name: 'goldcrestpier_store_age_seconds',
      help: 'Age of the data known for a key prefix of the store.',
      labelNames: ['prefix'],
      registers: [this.registry],
      collect() {
        for (const [prefix, ageMs] of readAges(readClock())) {
          if (ageMs !== undefined)
            this.set({prefix}, ageMs / MILLIS_PER_SECOND);
        }
      },
    });
  }

  /** Formats all metrics in the Prometheus text format. */
  format(): Promise<string> {
    return this.registry.metrics();
  }

  private createCounter<Label extends string>(
    name: string,
    help: string,
    labelNames: readonly Label[],
  ): Counter<Label> {
    return new Counter({name, help, labelNames, registers: [this.registry]});
  }
}
