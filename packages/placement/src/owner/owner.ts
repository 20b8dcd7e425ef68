/**
 * The owner's side: keeps the queues and binds late. A task leaves its queue
 * when a grant is there, and gets its final answer once.
 */
import type {RunnerClient, WorkerClient} from '@goldcrestpier/backends';
import type {Grant, Grants, Heartbeat, Prospect} from '@goldcrestpier/peers';
import {
  createFailure,
  FailureCode,
  OutcomeKind,
  Ran,
  type Failure,
  type PlacedTask,
  type TaskOutcome,
} from '@goldcrestpier/protocol';
import {type Lifecycle, type Millis} from '@goldcrestpier/runtime';
import {PolicyKind} from '@goldcrestpier/settings';
import {Err, Ok, type Result} from 'ts-results-es';
import type {PlacementCounters} from '../counters.js';
import type {Holding} from '../holding/index.js';
import {DirectBinding, type DirectPolicy} from '../policies/index.js';
import {RunEstimates} from '../speeds/index.js';
import {poolOf, type PlacementPeers, type PlacementView} from '../view.js';
import {admit} from './admit.js';
import type {Binding} from './binding.js';
import {Deadlines} from './deadlines.js';
import {GrantBinding} from './grant_binding.js';
import {PoolQueue} from './pool_queue.js';
import {Starts} from './starts.js';
import {TaskNeeds} from './task_needs.js';
import {createRecord, RecordState, type TaskRecord} from './task_record.js';

/** What an owner needs. */
export interface OwnerParts {
  readonly view: PlacementView;
  readonly peers: PlacementPeers;
  readonly runners: RunnerClient;
  readonly workers: WorkerClient;
  readonly counters: PlacementCounters;
  readonly lifecycle: Lifecycle;
  readonly holding: Holding;
  /** A task was sent to a server for the first time. */
  readonly onStart: (task: PlacedTask) => void;
  /** A task has its final answer. */
  readonly onEnd: (task: PlacedTask, outcome: TaskOutcome) => void;
}

/** What waits and runs in one pool. */
export interface PoolWaiting {
  readonly pool: string;
  readonly waiting: number;
  readonly running: number;
  readonly oldestMs: Millis;
}

/** The tasks of this instance's sessions. */
export class Owner {
  private readonly records = new Map<string, TaskRecord>();
  private readonly queues = new Map<string, PoolQueue>();
  private readonly estimates = new RunEstimates();
  private readonly needs: TaskNeeds;
  private readonly deadlines: Deadlines;
  private readonly grants: GrantBinding;
  private readonly direct: DirectBinding;
  private readonly starts: Starts;
  private readonly onIdle = new Set<() => void>();
  private draining = false;

  constructor(private readonly parts: OwnerParts) {
    const {view, lifecycle} = parts;
    this.needs = new TaskNeeds(() => view.servers());
    this.deadlines = new Deadlines(lifecycle, (record, now) =>
      this.passDeadline(record, now),
    );
    const use = (grant: Grant, now: Millis) => this.use(grant, now);
    const needsOf = this.needs.ofQueue;
    this.grants = new GrantBinding({...parts, needsOf, use});
    this.direct = new DirectBinding({
      view,
      needsOf,
      use,
      policyOf: pool => this.directPolicyOf(pool),
      random: Math.random,
    });
    this.starts = new Starts({
      ...parts,
      estimates: this.estimates,
      learned: this.needs.learned,
      settingsOf: pool => view.settingsOf(pool),
      bindingOf: pool => this.bindingOf(pool),
      end: (record, outcome, now) => this.end(record, outcome, now),
    });
    lifecycle.own('starts', () => this.stopAll());
  }

  /** Takes in all tasks or none; an error is a true not run. */
  enqueue(tasks: readonly PlacedTask[], now: Millis): Result<void, Failure> {
    const {view, counters} = this.parts;
    if (this.draining) {
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

  /** Ends tasks at once; those that had started are asked to stop. */
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

  /** What waits and runs. */
  waiting(now: Millis): PoolWaiting[] {
    return [...this.queues.values()].map(queue => ({
      pool: queue.pool,
      waiting: queue.waiting,
      running: queue.tasks - queue.waiting,
      oldestMs: queue.oldestMs(now),
    }));
  }

  /** Takes nothing new, and resolves when every task has ended. */
  drain(): Promise<void> {
    this.draining = true;
    if (this.records.size === 0) return Promise.resolve();
    return new Promise(resolve => this.onIdle.add(resolve));
  }

  /** Takes grants for waiting tasks; those that none waits for go back. */
  takeGrants(grants: Grants, now: Millis): void {
    this.grants.takeOffer(grants, now);
  }

  /** The grants in use of servers that `holder` holds now. */
  grantsInUse(holder: string): Heartbeat['grantsInUse'] {
    const inUse = [];
    for (const {grant} of this.starts.running) {
      if (this.grants.holderOf(grant) !== holder) continue;
      inUse.push({grant: grant.grant, server: grant.server});
    }
    return inUse;
  }

  /** What a task may expect at a peer, as its heartbeat says. */
  hearProspects(
    peer: string,
    prospects: readonly Prospect[],
    now: Millis,
  ): void {
    this.grants.hearProspects(peer, prospects, now);
  }

  /** Takes up what members, servers and settings are now. */
  refresh(now: Millis): void {
    this.needs.refresh();
    this.grants.refresh();
    for (const queue of this.queues.values()) {
      if (queue.waiting > 0) this.bindingOf(queue.pool).wake(queue, now);
    }
  }

  private add(task: PlacedTask, now: Millis): void {
    const queue = this.queueOf(poolOf(task.target));
    const record = createRecord(task, queue.pool, now);
    this.records.set(task.id, record);
    queue.add(record, now);
    this.deadlines.add(record, now);
    this.bindingOf(queue.pool).wake(queue, now);
  }

  /** Starts a waiting task on a grant; false when none waits for it. */
  private use(grant: Grant, now: Millis): boolean {
    const queue = this.queueOf(grant.pool);
    const {weights} = this.parts.view.settingsOf(grant.pool).fairness;
    const record =
      grant.needs === undefined
        ? queue.take(weights, grant.team, now)
        : this.takeSuited(queue, grant, now);
    if (record === undefined) return false;
    this.starts.start(queue, record, grant, now);
    return true;
  }

  /** Takes a waiting task that fits what was granted of a worker. */
  private takeSuited(
    queue: PoolQueue,
    grant: Grant,
    now: Millis,
  ): TaskRecord | undefined {
    const {weights} = this.parts.view.settingsOf(grant.pool).fairness;
    const record = this.needs.findFor(queue, grant);
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
    this.parts.onEnd(record.task, outcome);
    this.bindingOf(record.pool).wake(queue, now);
    if (this.records.size > 0) return;
    for (const resolve of this.onIdle) resolve();
    this.onIdle.clear();
  }

  private passDeadline(record: TaskRecord, now: Millis): void {
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
    const {policy} = this.parts.view.settingsOf(pool).placement;
    return policy === PolicyKind.Holding ? this.grants : this.direct;
  }

  private directPolicyOf(pool: string): DirectPolicy {
    const {policy} = this.parts.view.settingsOf(pool).placement;
    return policy === PolicyKind.Holding ? PolicyKind.TwoChoices : policy;
  }

  private stopAll(): void {
    for (const {controller} of this.starts.running) controller.abort();
  }
}

function ranOf(record: TaskRecord): Ran {
  return record.starts > 0 ? Ran.MayHaveRun : Ran.NotRun;
}
