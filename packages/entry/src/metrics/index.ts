/** Prometheus metrics of an entry instance. */
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

/** Counters, histograms and gauges of an entry instance. */
export class Metrics {
  private readonly registry = new Registry();
  private readonly requests = this.createCounter(
    'goldcrestpier_requests_total',
    'Requests to the callers listener, by route and status.',
    ['route', 'status'],
  );
  private readonly refusals = this.createCounter(
    'goldcrestpier_refusals_total',
    'Submissions and sessions refused, by reason.',
    ['reason'],
  );
  private readonly retries = this.createCounter(
    'goldcrestpier_retries_total',
    'Task retries, by the reason why the previous attempt ended.',
    ['reason'],
  );
  private readonly ejections = this.createCounter(
    'goldcrestpier_ejections_total',
    'Ejections of backend servers, by reason.',
    ['reason'],
  );
  private readonly messages = this.createCounter(
    'goldcrestpier_messages_total',
    'Messages sent to peers, backend servers and the platform, by kind.',
    ['kind'],
  );
  private readonly wastedMessages = this.createCounter(
    'goldcrestpier_wasted_messages_total',
    'Messages that contributed to no answer, by kind.',
    ['kind'],
  );
  private readonly peerBytes = this.createCounter(
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
    'Calls to the platform, by call and result.',
    ['call', 'result'],
  );
  private readonly tasks = this.createCounter(
    'goldcrestpier_tasks_total',
    'Ended tasks, by outcome.',
    ['outcome'],
  );
  private readonly jobs = new Histogram({
    name: 'goldcrestpier_job_seconds',
    help: 'Time from acceptance to the end of jobs, by state.',
    labelNames: ['state'],
    buckets: JOB_SECONDS_BUCKETS,
    registers: [this.registry],
  });

  constructor() {
    collectDefaultMetrics({register: this.registry});
  }

  /** Counts a request whose response has ended. */
  countRequest(route: string, status: number): void {
    this.requests.inc({route, status});
  }

  /** Counts a refusal by the code of its failure. */
  countRefusal(failure: Failure): void {
    this.refusals.inc({reason: failure.code});
  }

  /** Counts a retry of a task. */
  countRetry(reason: string): void {
    this.retries.inc({reason});
  }

  /** Counts the ejection of a backend server. */
  countEjection(reason: string): void {
    this.ejections.inc({reason});
  }

  /** Counts messages sent. */
  countMessages(kind: string, count = 1): void {
    this.messages.inc({kind}, count);
  }

  /** Counts messages that contributed to no answer. */
  countWastedMessages(kind: string, count = 1): void {
    this.wastedMessages.inc({kind}, count);
  }

  /** Counts messages exchanged with peers and their bytes. */
  readonly peerMessageCounter: MessageCounter = {
    count: (direction, call, bytes) => {
      this.peerMessages.inc({call, direction});
      this.peerBytes.inc({call, direction}, bytes);
    },
  };

  /** Counts a call to the platform; without `failureReason` it succeeded. */
  countPlatformCall(call: string, failureReason: string | undefined): void {
    this.platformCalls.inc({call, result: failureReason ?? 'ok'});
  }

  /** Counts an ended task. */
  countTask(outcome: string): void {
    this.tasks.inc({outcome});
  }

  /** Records an ended job and its duration. */
  countJob(state: string, durationMs: Millis): void {
    this.jobs.observe({state}, durationMs / MILLIS_PER_SECOND);
  }

  /** Registers a gauge whose value is read when the metrics are collected. */
  registerGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: `goldcrestpier_${name}`,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }

  /** Returns all metrics in the text format of Prometheus. */
  render(): Promise<string> {
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
