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
import {PlatformReason, type PlatformFailure} from '../failure.js';
import {
  parseInstanceList,
  type InstanceList,
  type ParsedList,
  type SkippedTarget,
} from './parse.js';

const LARGEST_LIST_BYTES = 32 * 1024 * 1024;
/** Skipped targets that are named in one log line. */
const MOST_NAMED = 5;
const CALL = 'instance list';

/** What a poller is made with. */
export interface PollerOptions {
  readonly url: string;
  readonly pollMs: Millis;
  readonly timeoutMs: Millis;
  readonly logger: Logger;
  /** Ends the polling. */
  readonly lifecycle: Lifecycle;
  /** Told of each reading, for counting. */
  readonly onPoll?: (poll: PollReport) => void;
}

/** How one reading went. */
export interface PollReport {
  readonly failed: PlatformReason | undefined;
  /** Targets left out as malformed. */
  readonly skipped: number;
}

/** Reads the instance list at an interval and keeps the last good one. */
export class InstanceListPoller {
  private readonly topic = createTopic<InstanceList>();
  private readonly readingTopic = createTopic<InstanceList>();
  private readonly agent = new Agent({
    connections: 1,
    maxResponseSize: LARGEST_LIST_BYTES,
  });
  private list: InstanceList = {servers: [], entries: []};
  private readAt: Millis | undefined;
  private last: {digest: string; parsed: ParsedList} | undefined;
  private wasSkipped = '';
  private wasOut = false;

  constructor(private readonly options: PollerOptions) {
    options.lifecycle.own('instance list', async () => {
      this.topic.end();
      this.readingTopic.end();
      await this.agent.destroy();
    });
  }

  /** The last good list; empty until there is one. */
  get current(): InstanceList {
    return this.list;
  }

  /** Publishes each list that differs from the one before. */
  get changes(): Stream<InstanceList> {
    return this.topic.stream;
  }

  /** Publishes each list that was read whole, also one without a change. */
  get readings(): Stream<InstanceList> {
    return this.readingTopic.stream;
  }

  /** How old the list is; undefined until there is one. */
  readAge(now: Millis): Millis | undefined {
    return this.readAt === undefined ? undefined : now - this.readAt;
  }

  /** Reads at the interval until the life cycle closes. */
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
      cause => logger.error('polling ended', {cause: String(cause)}),
    );
  }

  /** Reads once, at `now`. */
  async poll(now: Millis): Promise<Result<InstanceList, PlatformFailure>> {
    const read = await this.read();
    if (read.isErr()) {
      this.noteOutage(read.error, now);
      return read;
    }
    const {list, skipped} = read.value;
    this.options.onPoll?.({failed: undefined, skipped: skipped.length});
    this.noteSkipped(skipped);
    this.take(list, now);
    this.readingTopic.publish(list);
    return Ok(list);
  }

  private take(list: InstanceList, now: Millis): void {
    if (this.wasOut) this.options.logger.info('the instance list is back');
    this.wasOut = false;
    this.readAt = now;
    if (list === this.list) return;
    this.list = list;
    this.topic.publish(list);
  }

  private async read(): Promise<Result<ParsedList, PlatformFailure>> {
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
        return fail(PlatformReason.Refused, `status ${statusCode}`);
      }
      return this.parse(await body.text());
    } catch (cause) {
      if (cause instanceof SyntaxError) {
        return fail(PlatformReason.Malformed, 'not JSON');
      }
      const {name, code} = cause as NodeJS.ErrnoException;
      return name === 'TimeoutError'
        ? fail(PlatformReason.TimedOut, 'no answer in time')
        : fail(PlatformReason.Unreachable, code ?? name);
    }
  }

  /** A large fleet's list is parsed only when it is another. */
  private parse(text: string): Result<ParsedList, PlatformFailure> {
    const digest = createHash('sha1').update(text).digest('hex');
    if (digest === this.last?.digest) return Ok(this.last.parsed);
    const parsed = parseInstanceList(JSON.parse(text));
    if (parsed === undefined) {
      return fail(PlatformReason.Malformed, 'not a list');
    }
    this.last = {digest, parsed};
    return Ok(parsed);
  }

  private noteOutage(failure: PlatformFailure, now: Millis): void {
    this.options.onPoll?.({failed: failure.reason, skipped: 0});
    if (this.wasOut) return;
    this.wasOut = true;
    this.options.logger.warn('the instance list is out, keeping the last one', {
      reason: failure.reason,
      detail: failure.detail,
      ageMs: this.readAge(now),
    });
  }

  /** Says what was left out, once for as long as it stays the same. */
  private noteSkipped(skipped: readonly SkippedTarget[]): void {
    const named = skipped
      .slice(0, MOST_NAMED)
      .map(({target, reason}) => `${target} (${reason})`)
      .join(', ');
    const isNews = named !== this.wasSkipped;
    this.wasSkipped = named;
    if (skipped.length === 0 || !isNews) return;
    const fields = {count: skipped.length, targets: named};
    this.options.logger.warn('malformed targets were left out', fields);
  }
}

function fail(reason: PlatformReason, detail: string): Err<PlatformFailure> {
  return Err({reason, call: CALL, detail, mayHaveTakenEffect: false});
}
