import {createHash} from 'node:crypto';
import {
  createTopic,
  readClock,
  sleep,
  type Lifecycle,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import type {Stream} from 'most';
import {Err, Ok, type Result} from 'ts-results-es';
import {Agent, request} from 'undici';
import {PlatformFailureReason, type PlatformFailure} from '../failure.js';
import {
  parseInstanceList,
  type InstanceList,
  type ParsedList,
  type SkippedTarget,
} from './parse.js';

const MAX_LIST_BYTES = 32 * 1024 * 1024;
/** Maximum number of skipped targets listed in one log line. */
const MAX_LOGGED_TARGETS = 5;
const CALL_NAME = 'instance list';

/** Options of an `InstanceListPoller`. */
export interface InstanceListPollerOptions {
  readonly url: string;
  readonly pollMs: Millis;
  readonly timeoutMs: Millis;
  readonly logger: Logger;
  /** Stops the polling when it closes. */
  readonly lifecycle: Lifecycle;
  /** Called after each poll, for metrics. */
  readonly onPoll?: (poll: PollReport) => void;
}

/** The outcome of one poll. */
export interface PollReport {
  readonly failed: PlatformFailureReason | undefined;
  /** Number of malformed targets that were skipped. */
  readonly skipped: number;
}

/** Polls the instance list and keeps the last valid one while polls fail. */
export class InstanceListPoller {
  private readonly changeTopic = createTopic<InstanceList>();
  private readonly polledListTopic = createTopic<InstanceList>();
  private readonly agent = new Agent({
    connections: 1,
    maxResponseSize: MAX_LIST_BYTES,
  });
  private list: InstanceList = {servers: [], entries: []};
  private readAt: Millis | undefined;
  private lastParsed: {digest: string; parsed: ParsedList} | undefined;
  private lastLoggedTargets = '';
  private isUnavailable = false;

  constructor(private readonly options: InstanceListPollerOptions) {
    options.lifecycle.own('instance list', async () => {
      this.changeTopic.end();
      this.polledListTopic.end();
      await this.agent.destroy();
    });
  }

  /** The last valid list; empty until there is one. */
  get current(): InstanceList {
    return this.list;
  }

  /** Publishes each list that differs from the previous one. */
  get changes(): Stream<InstanceList> {
    return this.changeTopic.stream;
  }

  /** Publishes the list of each successful poll, changed or not. */
  get polledLists(): Stream<InstanceList> {
    return this.polledListTopic.stream;
  }

  /** Time since the last successful poll; undefined until there is one. */
  readAge(now: Millis): Millis | undefined {
    return this.readAt === undefined ? undefined : now - this.readAt;
  }

  /** Polls at the interval until the lifecycle closes. */
  start(): void {
    const {lifecycle, logger} = this.options;
    lifecycle.run(
      'instance list polls',
      async signal => {
        while (!signal.aborted) {
          await this.poll(readClock());
          await sleep(this.options.pollMs, signal);
        }
      },
      cause =>
        logger.error('instance list polling failed', {cause: String(cause)}),
    );
  }

  /** Polls once, at `now`. */
  async poll(now: Millis): Promise<Result<InstanceList, PlatformFailure>> {
    const fetched = await this.fetchList();
    if (fetched.isErr()) {
      this.reportFailure(fetched.error, now);
      return fetched;
    }
    const {list, skipped} = fetched.value;
    this.options.onPoll?.({failed: undefined, skipped: skipped.length});
    this.logSkippedTargets(skipped);
    this.applyList(list, now);
    this.polledListTopic.publish(list);
    return Ok(list);
  }

  private applyList(list: InstanceList, now: Millis): void {
    if (this.isUnavailable)
      this.options.logger.info('instance list is available again');
    this.isUnavailable = false;
    this.readAt = now;
    if (list === this.list) return;
    this.list = list;
    this.changeTopic.publish(list);
  }

  private async fetchList(): Promise<Result<ParsedList, PlatformFailure>> {
    try {
      const {statusCode, body} = await request(this.options.url, {
        dispatcher: this.agent,
        headers: {accept: 'application/json'},
        signal: AbortSignal.any([
          AbortSignal.timeout(this.options.timeoutMs),
          this.options.lifecycle.signal,
        ]),
      });
      if (statusCode !== 200) {
        await body.dump();
        return fail(PlatformFailureReason.Refused, `status ${statusCode}`);
      }
      return this.parse(await body.text());
    } catch (cause) {
      if (cause instanceof SyntaxError) {
        return fail(
          PlatformFailureReason.Malformed,
          'response body is not JSON',
        );
      }
      const {name, code} = cause as NodeJS.ErrnoException;
      return name === 'TimeoutError'
        ? fail(PlatformFailureReason.TimedOut, 'request timed out')
        : fail(PlatformFailureReason.Unreachable, code ?? name);
    }
  }

  /** Skips parsing if the text is unchanged, as a large fleet has a long list. */
  private parse(text: string): Result<ParsedList, PlatformFailure> {
    const digest = createHash('sha1').update(text).digest('hex');
    if (digest === this.lastParsed?.digest) return Ok(this.lastParsed.parsed);
    const parsed = parseInstanceList(JSON.parse(text));
    if (parsed === undefined) {
      return fail(
        PlatformFailureReason.Malformed,
        'response body is not an array',
      );
    }
    this.lastParsed = {digest, parsed};
    return Ok(parsed);
  }

  private reportFailure(failure: PlatformFailure, now: Millis): void {
    this.options.onPoll?.({failed: failure.reason, skipped: 0});
    if (this.isUnavailable) return;
    this.isUnavailable = true;
    this.options.logger.warn(
      'failed to poll the instance list; keeping the last one',
      {
        reason: failure.reason,
        detail: failure.detail,
        ageMs: this.readAge(now),
      },
    );
  }

  /** Logs the skipped targets, once until they change. */
  private logSkippedTargets(skipped: readonly SkippedTarget[]): void {
    const targetsText = skipped
      .slice(0, MAX_LOGGED_TARGETS)
      .map(({target, reason}) => `${target} (${reason})`)
      .join(', ');
    const isChanged = targetsText !== this.lastLoggedTargets;
    this.lastLoggedTargets = targetsText;
    if (skipped.length === 0 || !isChanged) return;
    const fields = {count: skipped.length, targets: targetsText};
    this.options.logger.warn(
      'skipped malformed targets of the instance list',
      fields,
    );
  }
}

function fail(
  reason: PlatformFailureReason,
  detail: string,
): Err<PlatformFailure> {
  return Err({reason, call: CALL_NAME, detail, mayHaveTakenEffect: false});
}
