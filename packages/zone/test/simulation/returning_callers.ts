/** Callers that leave and send the same job again at once, and cancellations. */
import type {Millis} from '@goldcrestpier/runtime';
import type {OwnerAnswer} from '../../src/owner/index.js';
import type {AnswerChecker} from './answer_checker.js';
import type {Machine, World} from './machine.js';
import {CALLERS} from './network.js';
import type {Random} from './random.js';

/** Share of requests whose callers leave and come back. */
const LEAVING_SHARE = 0.4;
/** Longest time after which they leave, in ms. */
const MAX_WAIT_MS = 900;
/** Share of these that come back within milliseconds. */
const IMMEDIATE_SHARE = 0.5;
const MAX_IMMEDIATE_MS = 5;
const MAX_PAUSE_MS = 200;
/** Share of disconnects that their instances notice late. */
const HELD_SHARE = 0.3;
const MAX_HELD_MS = 300;
/** Share of callers that come back to the same machine. */
const SAME_MACHINE_SHARE = 0.4;
/** Share of the others that come back to any machine of any zone. */
const ANY_ZONE_SHARE = 0.2;
/** Share of requests after which their job is cancelled. */
const CANCELLED_SHARE = 0.05;
const MAX_CANCELLATION_MS = 1_200;
/** Share of answers that a request to cancel the job crosses. */
const CROSSING_SHARE = 0.03;
/** How long the job to cancel is looked for, in ms. */
const SEARCH_MS = 1_300;

/** A request whose caller waits. */
export interface WaitingRequest {
  readonly jobId: string;
  readonly machine: Machine;
  /** Disconnects the caller, noticed this late; false if it was answered. */
  readonly leave: (heldMs: Millis) => boolean;
  readonly sendAgain: (machine: Machine) => void;
}

/** Draws which callers leave and come back, and which jobs are cancelled. */
export class ReturningCallers {
  private readonly random: Random;

  constructor(
    private readonly world: World,
    private readonly checker: AnswerChecker,
  ) {
    this.random = world.random.fork();
  }

  /** Draws what the caller of a request does while it waits. */
  watch(request: WaitingRequest): void {
    const {random, checker} = this;
    const {scheduler} = this.world;
    const {jobId} = request;
    checker.recordRequest(jobId);
    if (random.chance(CANCELLED_SHARE)) {
      const cancelsMs = random.between(0, MAX_CANCELLATION_MS);
      scheduler.runAfter(cancelsMs, () => this.cancel(jobId));
    }
    if (!random.chance(LEAVING_SHARE)) return;
    const leavesMs = random.between(0, MAX_WAIT_MS);
    scheduler.runAfter(leavesMs, () => this.leaveAndReturn(request));
  }

  /** Receives the answer of an instance to a request. */
  handleAnswer(jobId: string, answer: OwnerAnswer): void {
    this.checker.recordAnswer(jobId, answer);
    if (this.random.chance(CROSSING_SHARE)) this.cancel(jobId);
  }

  /** Receives an answer that has reached its caller. */
  handleReceived(jobId: string, answer: OwnerAnswer): void {
    this.checker.recordReceived(jobId, answer);
  }

  private leaveAndReturn({jobId, machine, ...request}: WaitingRequest): void {
    const {random, world} = this;
    const isHeld = random.chance(HELD_SHARE);
    if (!request.leave(isHeld ? random.between(0, MAX_HELD_MS) : 0)) return;
    const isImmediate = random.chance(IMMEDIATE_SHARE);
    const maxPauseMs = isImmediate ? MAX_IMMEDIATE_MS : MAX_PAUSE_MS;
    const next = this.chooseMachine(machine);
    world.scheduler.runAfter(random.between(0, maxPauseMs), () => {
      this.checker.recordReturn(jobId, next.zone !== machine.zone);
      request.sendAgain(next);
    });
  }

  private chooseMachine(machine: Machine): Machine {
    const {random, world} = this;
    if (random.chance(SAME_MACHINE_SHARE)) return machine;
    if (random.chance(ANY_ZONE_SHARE)) return random.pick(world.machines);
    return random.pick(
      world.machines.filter(({zone}) => zone === machine.zone),
    );
  }

  /** Cancels a job through a random instance. */
  private cancel(jobId: string): void {
    const {random, world, checker} = this;
    const machine = random.pick(world.machines);
    const {running} = machine;
    if (running === undefined) return;
    checker.recordCancellation(jobId);
    const at = world.network.drawArrival(CALLERS, machine.name);
    world.scheduler.deliver(at, running.process, () => {
      void running.instance.inquiries.cancel(jobId, SEARCH_MS);
    });
  }
}
