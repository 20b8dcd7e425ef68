/** Callers that send jobs, and send them again after a broken answer. */
import type {Job, Step} from '@goldcrestpier/dispatch';
import {readClock, type Millis} from '@goldcrestpier/runtime';
import type {OwnerAnswer} from '../../src/owner/index.js';
import type {InstanceLife, Machine, World} from './machine.js';
import {CALLERS} from './network.js';
import type {Random} from './random.js';

/** After a broken answer a job is sent again so much later. */
const RESEND_MS = 1_300;
/** The most times that a job is sent. */
const MOST_SENDS = 5;
/** The share of jobs that go to a machine that is ready, in the own zone. */
const WELL_SENT = 0.85;
/** The share of refused jobs that are sent once more. */
const TRIES_AGAIN = 0.3;
/** The share of callers that leave early. */
const LEAVES_EARLY = 0.04;

interface SentJob {
  readonly id: string;
  readonly zone: string;
  readonly steps: readonly Step[];
  readonly waitMs: Millis;
  sends: number;
}

/** How the jobs of a play ended. */
export interface Tally {
  jobs: number;
  completed: number;
  refused: number;
  broken: number;
}

/** All callers of a play. */
export class Callers {
  readonly tally: Tally = {jobs: 0, completed: 0, refused: 0, broken: 0};
  private readonly random: Random;

  constructor(private readonly world: World) {
    this.random = world.random.fork();
  }

  /** Sends jobs with these pauses in the mean, until a time. */
  begin(pauseMs: Millis, until: Millis): void {
    const {scheduler} = this.world;
    const next = () => {
      if (scheduler.now > until) return;
      this.send(this.createJob());
      scheduler.later(this.random.between(0, 2 * pauseMs), next);
    };
    next();
  }

  private createJob(): SentJob {
    const {random} = this;
    this.tally.jobs += 1;
    const cpuMillis = random.pick([16_000, 27_000, 32_000]);
    const need = {cpuMillis, memoryMb: 64, accelerators: 0};
    const steps: Step[] = [];
    const count = random.chance(0.25) ? 2 : 1;
    for (let index = 0; index < count; index += 1) {
      const after = index === 0 ? [] : [index - 1];
      const tasks = random.whole(1, 5);
      steps.push({tasks, need, estimateMs: 250, after});
    }
    return {
      id: random.hex(16),
      zone: random.pick(this.world.zones),
      steps,
      waitMs: random.between(1_500, 4_000),
      sends: 0,
    };
  }

  private send(sent: SentJob): void {
    if (sent.sends >= MOST_SENDS) return;
    sent.sends += 1;
    const machine = this.chooseMachine(sent);
    const {scheduler, network, timeLine} = this.world;
    const life = machine.life;
    timeLine.add('caller', `sends ${sent.id} to ${life?.id ?? machine.name}`);
    const isOpen = network.isOpen(CALLERS, machine.name);
    if (life === undefined || !isOpen) {
      const breakMs = life === undefined ? 1 : sent.waitMs;
      scheduler.later(breakMs, () => this.breakOff(sent));
      return;
    }
    this.ask(sent, machine, life);
  }

  private chooseMachine({zone, sends}: SentJob): Machine {
    const {random, world} = this;
    if (sends > 1 || !random.chance(WELL_SENT)) {
      return random.pick(world.machines);
    }
    const ready = world.machines.filter(
      machine => machine.zone === zone && machine.isReady(),
    );
    return random.pick(ready.length > 0 ? ready : world.machines);
  }

  /** One request, until its answer, its end or the caller's patience. */
  private ask(sent: SentJob, machine: Machine, life: InstanceLife): void {
    const {scheduler, network} = this.world;
    const controller = new AbortController();
    let isOver = false;
    const end = (isLeft: boolean) => {
      isOver = true;
      life.onGone.delete(lose);
      life.onReset.delete(reset);
      if (!isLeft) return;
      const at = network.arrivesAt(CALLERS, machine.name);
      scheduler.deliver(at, life.process, () => controller.abort());
    };
    const comeBack = (take: () => void) => {
      const at = network.arrivesAt(machine.name, CALLERS);
      scheduler.deliver(at, undefined, () => {
        if (!isOver) take();
      });
    };
    const lose = () =>
      comeBack(() => {
        end(false);
        this.breakOff(sent);
      });
    const reset = () => {
      end(true);
      this.breakOff(sent);
    };
    life.onGone.add(lose);
    life.onReset.add(reset);
    scheduler.later(sent.waitMs, () => {
      if (isOver) return;
      end(true);
      this.breakOff(sent);
    });
    if (this.random.chance(LEAVES_EARLY)) {
      const leavesMs = this.random.between(50, 800);
      scheduler.later(leavesMs, () => {
        if (!isOver) end(true);
      });
    }
    const arrivesAt = network.arrivesAt(CALLERS, machine.name);
    scheduler.deliver(arrivesAt, life.process, () => {
      const job = toJob(sent, readClock());
      void life.instance.run(job, controller.signal).then(answer =>
        comeBack(() => {
          end(false);
          this.take(sent, answer);
        }),
      );
    });
  }

  private take(sent: SentJob, answer: OwnerAnswer): void {
    const {scheduler, timeLine} = this.world;
    timeLine.add('caller', `hears ${answer.kind} for ${sent.id}`);
    switch (answer.kind) {
      case 'completed':
      case 'failed':
        this.tally.completed += 1;
        return;
      case 'refused':
        this.tally.refused += 1;
        if (!this.random.chance(TRIES_AGAIN)) return;
        scheduler.later(answer.retryAfterMs, () => this.send(sent));
        return;
      case 'abandoned':
      case 'unknown':
        this.breakOff(sent);
    }
  }

  private breakOff(sent: SentJob): void {
    this.tally.broken += 1;
    this.world.scheduler.later(RESEND_MS, () => this.send(sent));
  }
}

function toJob({id, steps, waitMs}: SentJob, now: Millis): Job {
  return {
    id,
    queue: 'quotes',
    service: 'pricing',
    priority: 0,
    maxAttempts: 2,
    stretch: 1.6,
    targetMs: 300,
    payload: '',
    steps,
    arrivedAt: now,
    deadlineAt: now + waitMs,
  };
}
