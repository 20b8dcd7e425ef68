/** What an entry instance counts, in the form of Prometheus. */
import type {MessageCounter} from '@goldcrestpier/peers';
import type {Failure} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

const MILLIS_PER_SECOND = 1000;
const JOB_SECONDS_BUCKETS = [0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60];

/** The counters of one entry instance. */
export class Metrics {
  private readonly registry = new Registry();
  private readonly requests = this.createCounter(
    'goldcrestpier_requests_total',
    'Requests answered on the callers listener.',
    ['route', 'status'],
  );
  private readonly refusals = this.createCounter(
    'goldcrestpier_refusals_total',
    'Submissions and sessions refused, by reason.',
    ['reason'],
  );
  private readonly retries = this.createCounter(
    'goldcrestpier_retries_total',
    'Tasks placed again, by the reason why their earlier try ended.',
    ['reason'],
  );
  private readonly ejections = this.createCounter(
    'goldcrestpier_ejections_total',
    'Backend servers taken out of use, by reason.',
    ['reason'],
  );
  private readonly messages = this.createCounter(
    'goldcrestpier_messages_total',
    'Messages sent to peers, backend servers and the platform, by kind.',
    ['kind'],
  );
  private readonly wasted = this.createCounter(
    'goldcrestpier_wasted_messages_total',
    'Messages that contributed to no answer, by kind.',
    ['kind'],
  );
  private readonly bytes = this.createCounter(
    'goldcrestpier_peer_bytes_total',
    'Bytes exchanged with peers, by call and direction.',
    ['call', 'direction'],
  );
  private readonly peerMessages = this.createCounter(
    'goldcrestpier_peer_messages_total',
    'Messages exchanged with peers, by call and direction.',
    ['call', 'direction'],
  );
  private readonly platformCalls = this.createCounter(
    'goldcrestpier_platform_calls_total',
    'Calls to the platform, by call and how they ended.',
    ['call', 'result'],
  );
  private readonly tasks = this.createCounter(
    'goldcrestpier_tasks_total',
    'Tasks ended, by how they ended.',
    ['outcome'],
  );
  private readonly jobs = new Histogram({
    name: 'goldcrestpier_job_seconds',
    help: 'Time from acceptance to end of jobs, by state.',
    labelNames: ['state'],
    buckets: JOB_SECONDS_BUCKETS,
    registers: [this.registry],
  });

  constructor() {
    collectDefaultMetrics({register: this.registry});
  }

  /** Counts one answered request. */
  countRequest(route: string, status: number): void {
    this.requests.inc({route, status});
  }

  /** Counts one refusal by its failure's code. */
  countRefusal(failure: Failure): void {
    this.refusals.inc({reason: failure.code});
  }

  /** Counts one task that is placed again. */
  countRetry(reason: string): void {
    this.retries.inc({reason});
  }

  /** Counts one server taken out of use. */
  countEjection(reason: string): void {
    this.ejections.inc({reason});
  }

  /** Counts messages sent. */
  countMessage(kind: string, count = 1): void {
    this.messages.inc({kind}, count);
  }

  /** Counts messages that contributed to no answer. */
  countWasted(kind: string, count = 1): void {
    this.wasted.inc({kind}, count);
  }

  /** Counts messages exchanged with peers, and their bytes. */
  readonly peerCounts: MessageCounter = {
    count: (direction, call, bytes) => {
      this.peerMessages.inc({call, direction});
      this.bytes.inc({call, direction}, bytes);
    },
  };

  /** Counts one call to the platform; `failed` is why it failed. */
  countPlatformCall(call: string, failed: string | undefined): void {
    this.platformCalls.inc({call, result: failed ?? 'ok'});
  }

  /** Counts one ended task. */
  countTask(outcome: string): void {
    this.tasks.inc({outcome});
  }

  /** Counts one ended job and its time. */
  countJob(state: string, milliseconds: Millis): void {
    this.jobs.observe({state}, milliseconds / MILLIS_PER_SECOND);
  }

  /** Shows a figure that is read when the metrics are. */
  watchGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: `goldcrestpier_${name}`,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }

  /** All metrics as text. */
  read(): Promise<string> {
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
