/**
 * The owner's side: queues tasks and binds them late. A task leaves its queue
 * only when a grant has arrived, and gets exactly one final answer.
 */
import type {RunnerClient, WorkerClient} from '@goldcrestpier/backends';
import type {Grant, Grants, Heartbeat, Prospect} from '@goldcrestpier/peers';
import {
  createFailure,
  FailureCode,
  OutcomeKind,
  RunStatus,
  type Failure,
  type PlacementTask,
  type TaskOutcome,
} from '@goldcrestpier/protocol';
import {type Lifecycle, type Millis} from '@goldcrestpier/runtime';
import {PolicyKind} from '@goldcrestpier/settings';
import {Err, Ok, type Result} from 'ts-results-es';
import type {PlacementCounters} from '../counters.js';
import type {SlotAllocator} from '../holding/index.js';
import {DirectBinding, type DirectPolicy} from '../policies/index.js';
import {RunEstimates} from '../speeds/index.js';
import {poolOf, type PlacementPeers, type PlacementView} from '../view.js';
import {admit} from './admit.js';
import type {Binding} from './binding.js';
import {Deadlines} from './deadlines.js';
import {GrantBinding} from './grant_binding.js';
import {PoolQueue} from './pool_queue.js';
import {StartTracker} from './start_tracker.js';
import {TaskNeeds} from './task_needs.js';
import {createRecord, RecordState, type TaskRecord} from './task_record.js';

/** Options of `Owner`. */
export interface OwnerOptions {
  readonly view: PlacementView;
  readonly peers: PlacementPeers;
  readonly runners: RunnerClient;
  readonly workers: WorkerClient;
  readonly counters: PlacementCounters;
  readonly lifecycle: Lifecycle;
  readonly allocator: SlotAllocator;
  /** Called when a task is sent to a server for the first time. */
  readonly onStart: (task: PlacementTask) => void;
  /** Called once with the final outcome of a task. */
  readonly onEnd: (task: PlacementTask, outcome: TaskOutcome) => void;
}

/** Counts of waiting and running tasks in one pool. */
export interface PoolWaiting {
  readonly pool: string;
  readonly waiting: number;
  readonly running: number;
  readonly oldestMs: Millis;
}

/** Owns the tasks of this instance's sessions until they end. */
export class Owner {
  private readonly records = new Map<string, TaskRecord>();
  private readonly queues = new Map<string, PoolQueue>();
  private readonly estimates = new RunEstimates();
  private readonly needs: TaskNeeds;
  private readonly deadlines: Deadlines;
  private readonly grantBinding: GrantBinding;
  private readonly directBinding: DirectBinding;
  private readonly starts: StartTracker;
  private readonly idleCallbacks = new Set<() => void>();
  private isDraining = false;

  constructor(private readonly options: OwnerOptions) {
    const {view, lifecycle} = options;
    this.needs = new TaskNeeds(() => view.servers());
    this.deadlines = new Deadlines(lifecycle, (record, now) =>
      this.endAtDeadline(record, now),
    );
    const tryStart = (grant: Grant, now: Millis) => this.tryStart(grant, now);
    const needsOf = this.needs.needsOfQueue;
    this.grantBinding = new GrantBinding({...options, needsOf, tryStart});
    this.directBinding = new DirectBinding({
      view,
      needsOf,
      tryStart,
      policyOf: pool => this.directPolicyOf(pool),
      random: Math.random,
    });
    this.starts = new StartTracker({
      ...options,
      estimates: this.estimates,
      learned: this.needs.learned,
      settingsOf: pool => view.settingsOf(pool),
      bindingOf: pool => this.bindingOf(pool),
      end: (record, outcome, now) => this.end(record, outcome, now),
    });
    lifecycle.own('starts', () => this.stopAll());
  }

  /** Admits all tasks or none; an error guarantees that none of them ran. */
  enqueue(tasks: readonly PlacementTask[], now: Millis): Result<void, Failure> {
    const {view, counters} = this.options;
    if (this.isDraining) {
      const {instance} = view.self;
      counters.refused(FailureCode.Leaving, '', tasks.length);
      return Err(createFailure(FailureCode.Leaving, {instance}));
    }
    const checked = admit(
      {
        servers: () => view.servers(),
        settingsOf: pool => view.settingsOf(pool),
        queueOf: pool => this.queueOf(pool),
        estimates: this.estimates,
      },
      tasks,
      now,
    );
    if (checked.isErr()) {
      const {pool, failure} = checked.error;
      counters.refused(failure.code, pool, tasks.length);
      return Err(failure);
    }
    for (const task of tasks) this.add(task, now);
    return Ok(undefined);
  }

  /** Ends tasks at once; their running starts are asked to stop. */
  cancel(ids: readonly string[], now: Millis): void {
    for (const id of ids) {
      const record = this.records.get(id);
      if (record === undefined) continue;
      const failure = createFailure(
        FailureCode.Cancelled,
        {},
        {ran: ranOf(record)},
      );
      this.end(record, {kind: OutcomeKind.Failed, failure}, now);
    }
  }

  /** Counts of waiting and running tasks by pool. */
  waiting(now: Millis): PoolWaiting[] {
    return [...this.queues.values()].map(queue => ({
      pool: queue.pool,
      waiting: queue.waiting,
      running: queue.tasks - queue.waiting,
      oldestMs: queue.oldestMs(now),
    }));
  }

  /** Refuses new tasks and resolves when all tasks have ended. */
  drain(): Promise<void> {
    this.isDraining = true;
    if (this.records.size === 0) return Promise.resolve();
    return new Promise(resolve => this.idleCallbacks.add(resolve));
  }

  /** Starts waiting tasks on the grants and returns unused grants. */
  receiveGrants(grants: Grants, now: Millis): void {
    this.grantBinding.receiveOffer(grants, now);
  }

  /** The grants in use on servers that `holder` currently holds. */
  grantsInUse(holder: string): Heartbeat['grantsInUse'] {
    const inUse = [];
    for (const {grant} of this.starts.running) {
      if (this.grantBinding.holderOf(grant) !== holder) continue;
      inUse.push({grant: grant.grant, server: grant.server});
    }
    return inUse;
  }

  /** Updates what tasks can expect at a peer, from its heartbeat. */
  updateProspects(
    peer: string,
    prospects: readonly Prospect[],
    now: Millis,
  ): void {
    this.grantBinding.updateProspects(peer, prospects, now);
  }

  /** Applies changes of members, servers and settings. */
  refresh(now: Millis): void {
    this.needs.refresh();
    this.grantBinding.refresh();
    for (const queue of this.queues.values()) {
      if (queue.waiting > 0)
        this.bindingOf(queue.pool).onQueueChange(queue, now);
    }
  }

  private add(task: PlacementTask, now: Millis): void {
    const queue = this.queueOf(poolOf(task.target));
    const record = createRecord(task, queue.pool, now);
    this.records.set(task.id, record);
    queue.add(record, now);
    this.deadlines.add(record, now);
    this.bindingOf(queue.pool).onQueueChange(queue, now);
  }

  /** Starts a waiting task on a grant; returns false when none fits. */
  private tryStart(grant: Grant, now: Millis): boolean {
    const queue = this.queueOf(grant.pool);
    const {weights} = this.options.view.settingsOf(grant.pool).fairness;
    const record =
      grant.needs === undefined
        ? queue.take(weights, grant.team, now)
        : this.takeFitting(queue, grant, now);
    if (record === undefined) return false;
    this.starts.start(queue, record, grant, now);
    return true;
  }

  /** Takes a waiting task that fits the granted resources of a worker. */
  private takeFitting(
    queue: PoolQueue,
    grant: Grant,
    now: Millis,
  ): TaskRecord | undefined {
    const {weights} = this.options.view.settingsOf(grant.pool).fairness;
    const record = this.needs.findFitting(queue, grant);
    if (record === undefined) return undefined;
    return queue.takeRecord(record, weights, now) ? record : undefined;
  }

  private end(record: TaskRecord, outcome: TaskOutcome, now: Millis): void {
    if (record.state === RecordState.Ended) return;
    const queue = this.queueOf(record.pool);
    queue.end(record, now);
    this.deadlines.remove(record);
    this.records.delete(record.task.id);
    this.starts.stop(record);
    this.options.onEnd(record.task, outcome);
    this.bindingOf(record.pool).onQueueChange(queue, now);
    if (this.records.size > 0) return;
    for (const resolve of this.idleCallbacks) resolve();
    this.idleCallbacks.clear();
  }

  private endAtDeadline(record: TaskRecord, now: Millis): void {
    const deadlineMs = Math.round(record.task.deadlineAt - record.enqueuedAt);
    const failure = createFailure(
      FailureCode.DeadlinePassed,
      {deadlineMs},
      {ran: ranOf(record)},
    );
    this.end(record, {kind: OutcomeKind.Failed, failure}, now);
  }

  private queueOf(pool: string): PoolQueue {
    let queue = this.queues.get(pool);
    if (queue === undefined) {
      queue = new PoolQueue(pool);
      this.queues.set(pool, queue);
    }
    return queue;
  }

  private bindingOf(pool: string): Binding {
    const {policy} = this.options.view.settingsOf(pool).placement;
    return policy === PolicyKind.Holding
      ? this.grantBinding
      : this.directBinding;
  }

  private directPolicyOf(pool: string): DirectPolicy {
    const {policy} = this.options.view.settingsOf(pool).placement;
    return policy === PolicyKind.Holding ? PolicyKind.TwoChoices : policy;
  }

  private stopAll(): void {
    for (const {controller} of this.starts.running) controller.abort();
  }
}

function ranOf(record: TaskRecord): RunStatus {
  return record.starts > 0 ? RunStatus.MayHaveRun : RunStatus.NotRun;
}
