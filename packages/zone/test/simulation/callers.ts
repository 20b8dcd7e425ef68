/** Callers that send jobs, and resend them after a failed request. */
import type {Job, Step} from '@goldcrestpier/dispatch';
import {
  readClock,
  waitForPendingReads,
  type Millis,
} from '@goldcrestpier/runtime';
import type {OwnerAnswer} from '../../src/owner/index.js';
import type {RunningInstance, Machine, World} from './machine.js';
import type {AttendanceChecker} from './attendance_checker.js';
import {CALLERS} from './network.js';
import {CRASHING_PAYLOAD} from './crash_checker.js';
import {LABELLED_PAYLOAD, REQUIRED_LABEL} from './label_checker.js';
import type {Random} from './random.js';
import type {ReturningCallers} from './returning_callers.js';
import {USUAL_TASK_MS} from './worker.js';
import type {Workload} from './workload.js';

/** Delay before a job is resent after a failed request, in ms. */
export const RESEND_DELAY_MS = 1_300;
/** Maximum number of times that a job is sent. */
const MAX_SENDS = 5;
/** Share of jobs that are first sent to a ready machine of their own zone. */
const READY_TARGET_SHARE = 0.85;
/** Share of refused jobs that are sent again. */
const RETRY_AFTER_REFUSAL_SHARE = 0.3;
/** Share of callers that disconnect before the answer. */
const EARLY_DISCONNECT_SHARE = 0.04;

interface SentJob {
  readonly id: string;
  readonly zone: string;
  readonly steps: readonly Step[];
  readonly timeoutMs: Millis;
  readonly payload: string;
  sendCount: number;
}

/** Counts of how the jobs of a simulation ended. */
export interface JobTally {
  jobs: number;
  completed: number;
  refused: number;
  failedRequests: number;
}

/** All callers of a simulation. */
export class Callers {
  readonly tally: JobTally = {
    jobs: 0,
    completed: 0,
    refused: 0,
    failedRequests: 0,
  };
  private readonly random: Random;

  /** `crashingShare` of the jobs crash the workers that start them. */
  constructor(
    private readonly world: World,
    private readonly attendance: AttendanceChecker,
    private readonly crashingShare: number,
    private readonly workload?: Workload,
    private readonly returns?: ReturningCallers,
  ) {
    this.random = world.random.fork();
  }

  /** Sends jobs at this mean interval until a time. */
  start(meanIntervalMs: Millis, until: Millis): void {
    const {scheduler} = this.world;
    const next = () => {
      if (scheduler.now > until) return;
      this.send(this.createJob());
      scheduler.runAfter(this.random.between(0, 2 * meanIntervalMs), next);
    };
    next();
  }

  /** Sends a new job to this machine. */
  sendJobTo(machine: Machine): void {
    const sent = {...this.createJob(), zone: machine.zone};
    this.sendTo(sent, machine);
  }

  private createJob(): SentJob {
    const {random, workload} = this;
    const estimateMs = workload?.estimateMs ?? USUAL_TASK_MS;
    this.tally.jobs += 1;
    const cpuMillis = random.pick([16_000, 27_000, 32_000]);
    const need = {cpuMillis, memoryMb: 64, accelerators: 0};
    const steps: Step[] = [];
    const count = random.chance(0.25) ? 2 : 1;
    for (let index = 0; index < count; index += 1) {
      const after = index === 0 ? [] : [index - 1];
      const tasks = random.integer(1, 5);
      steps.push({tasks, need, estimateMs, after});
    }
    const id = random.hex(16);
    const zone = this.drawZone();
    const timeoutMs = workload?.timeoutMs ?? random.between(1_500, 4_000);
    const payload = this.drawPayload();
    const requiredLabel =
      payload === LABELLED_PAYLOAD ? REQUIRED_LABEL : undefined;
    const labelled = steps.map(step => ({...step, requiredLabel}));
    return {id, zone, steps: labelled, timeoutMs, payload, sendCount: 0};
  }

  private drawZone(): string {
    const {random, workload, world} = this;
    const [firstZone] = world.zones;
    const isInFirst =
      workload !== undefined && random.chance(workload.firstZoneShare);
    return isInFirst && firstZone !== undefined
      ? firstZone
      : random.pick(world.zones);
  }

  private drawPayload(): string {
    const {random, crashingShare, workload} = this;
    const labelledShare = workload?.labelledShare ?? 0;
    // Simulations without such jobs keep their sequence of random numbers.
    if (labelledShare > 0 && random.chance(labelledShare))
      return LABELLED_PAYLOAD;
    if (crashingShare === 0) return '';
    return random.chance(crashingShare) ? CRASHING_PAYLOAD : '';
  }

  private send(sent: SentJob): void {
    if (sent.sendCount >= MAX_SENDS) return;
    sent.sendCount += 1;
    this.sendTo(sent, this.chooseMachine(sent));
  }

  private sendAgain(sent: SentJob, machine: Machine): void {
    if (sent.sendCount >= MAX_SENDS) return;
    sent.sendCount += 1;
    this.sendTo(sent, machine);
  }

  private sendTo(sent: SentJob, machine: Machine): void {
    const {scheduler, network, timeline} = this.world;
    const running = machine.running;
    timeline.add(
      'caller',
      `sends ${sent.id} to ${running?.id ?? machine.name}`,
    );
    const isOpen = network.isOpen(CALLERS, machine.name);
    if (running === undefined || !isOpen) {
      const failureMs = running === undefined ? 1 : sent.timeoutMs;
      scheduler.runAfter(failureMs, () => this.handleFailedRequest(sent));
      return;
    }
    this.sendRequest(sent, machine, running);
  }

  private chooseMachine({zone, sendCount}: SentJob): Machine {
    const {random, world, workload} = this;
    const isOnKeptConnection =
      workload !== undefined &&
      sendCount === 1 &&
      random.chance(workload.keptConnectionShare);
    if (isOnKeptConnection)
      return random.pick(world.machines.filter(other => other.zone === zone));
    if (sendCount > 1 || !random.chance(READY_TARGET_SHARE)) {
      return random.pick(world.machines);
    }
    const ready = world.machines.filter(
      machine => machine.zone === zone && machine.isReady(),
    );
    return random.pick(ready.length > 0 ? ready : world.machines);
  }

  /** Sends a request, which ends by an answer, a lost connection or a timeout. */
  private sendRequest(
    sent: SentJob,
    machine: Machine,
    running: RunningInstance,
  ): void {
    const {scheduler, network} = this.world;
    const controller = new AbortController();
    const {attendance} = this;
    attendance.recordArrival(sent.id);
    let isFinished = false;
    const finish = (hasCallerLeft: boolean, heldMs = 0) => {
      isFinished = true;
      attendance.recordDeparture(sent.id);
      running.exitCallbacks.delete(handleProcessExit);
      running.resetCallbacks.delete(handleReset);
      if (!hasCallerLeft) return;
      const at = network.drawArrival(CALLERS, machine.name) + heldMs;
      scheduler.deliver(at, running.process, () => controller.abort());
    };
    const deliverToCaller = (onArrival: () => void) => {
      const at = network.drawArrival(machine.name, CALLERS);
      scheduler.deliver(at, undefined, () => {
        if (!isFinished) onArrival();
      });
    };
    const handleProcessExit = () =>
      deliverToCaller(() => {
        finish(false);
        this.handleFailedRequest(sent);
      });
    const handleReset = () => {
      finish(true);
      this.handleFailedRequest(sent);
    };
    running.exitCallbacks.add(handleProcessExit);
    running.resetCallbacks.add(handleReset);
    scheduler.runAfter(sent.timeoutMs, () => {
      if (isFinished) return;
      finish(true);
      this.handleFailedRequest(sent);
    });
    if (this.random.chance(EARLY_DISCONNECT_SHARE)) {
      const disconnectMs = this.random.between(50, 800);
      scheduler.runAfter(disconnectMs, () => {
        if (!isFinished) finish(true);
      });
    }
    this.returns?.watch({
      jobId: sent.id,
      machine,
      leave: heldMs => {
        if (isFinished) return false;
        finish(true, heldMs);
        return true;
      },
      sendAgain: next => this.sendAgain(sent, next),
    });
    const arrivesAt = network.drawArrival(CALLERS, machine.name);
    scheduler.deliver(arrivesAt, running.process, () => {
      const job = toJob(sent, readClock());
      void runIfWaiting(running, job, controller.signal).then(answer => {
        if (answer === undefined) return;
        this.returns?.handleAnswer(sent.id, answer);
        deliverToCaller(() => {
          finish(false);
          this.returns?.handleReceived(sent.id, answer);
          this.handleAnswer(sent, answer);
        });
      });
    });
  }

  private handleAnswer(sent: SentJob, answer: OwnerAnswer): void {
    const {scheduler, timeline} = this.world;
    timeline.add('caller', `receives ${answer.kind} for ${sent.id}`);
    switch (answer.kind) {
      case 'completed':
      case 'failed':
        this.tally.completed += 1;
        return;
      case 'refused':
        this.tally.refused += 1;
        if (!this.random.chance(RETRY_AFTER_REFUSAL_SHARE)) return;
        scheduler.runAfter(answer.retryAfterMs, () => this.send(sent));
        return;
      case 'abandoned':
      case 'unknown':
        this.handleFailedRequest(sent);
    }
  }

  private handleFailedRequest(sent: SentJob): void {
    this.tally.failedRequests += 1;
    this.world.scheduler.runAfter(RESEND_DELAY_MS, () => this.send(sent));
  }
}

/** Runs a job as the callers' server does, unless its caller has left. */
async function runIfWaiting(
  {instance}: RunningInstance,
  job: Job,
  signal: AbortSignal,
): Promise<OwnerAnswer | undefined> {
  await waitForPendingReads();
  return signal.aborted ? undefined : instance.run(job, signal);
}

function toJob({id, steps, timeoutMs, payload}: SentJob, now: Millis): Job {
  return {
    id,
    queue: 'quotes',
    service: 'pricing',
    priority: 0,
    maxAttempts: 2,
    stretch: 1.6,
    targetMs: 300,
    payload,
    steps,
    arrivedAt: now,
    deadlineAt: now + timeoutMs,
  };
}
