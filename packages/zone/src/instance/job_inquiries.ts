/**
 * Finds and cancels jobs for callers whose request reached another instance than
 * the one that took the job: asks the holder of the zone, which asks the holders
 * of the other zones, as a caller may have sent its job to any of them.
 */
import {readClock, sleep, type Millis} from '@goldcrestpier/runtime';
import type {Holder} from '../holder/index.js';
import type {Owner} from '../owner/index.js';
import {
  combinePresences,
  InquiryScope,
  JobAction,
  JobPresence,
  type JobInquiry,
  type ZoneClient,
} from '../protocol/index.js';

/** Timeout of an inquiry to the holder of this zone, in ms. */
const INQUIRY_TIMEOUT_MS = 900;
/** Timeout of an inquiry to the holder of another zone, in ms. */
const ZONE_INQUIRY_TIMEOUT_MS = 400;
/** Pause before an inquiry without a certain answer is repeated, in ms. */
const INQUIRY_INTERVAL_MS = 100;

/** Dependencies of the inquiries. */
export interface JobInquiriesOptions {
  readonly owner: Pick<Owner, 'hasCallers' | 'cancelForAllCallers'>;
  /** Finds the holder in this process, while there is one. */
  readonly findHolder: () => Pick<Holder, 'inquire'> | undefined;
  /** Finds the client of the holder at a peer, if it can be reached. */
  readonly findHolderClient: () => ZoneClient | undefined;
  /** Lists the holders of the other zones; undefined: it can't be reached. */
  readonly listZoneClients: () => readonly (ZoneClient | undefined)[];
}

/** Sends inquiries for callers, and answers those of peers. */
export class JobInquiries {
  constructor(private readonly options: JobInquiriesOptions) {}

  /** Finds a job within `timeoutMs`. */
  find(jobId: string, timeoutMs: Millis): Promise<JobPresence> {
    if (this.options.owner.hasCallers(jobId))
      return Promise.resolve(JobPresence.Known);
    return this.ask(jobId, JobAction.Find, timeoutMs);
  }

  /** Cancels a job for all its callers within `timeoutMs`. */
  cancel(jobId: string, timeoutMs: Millis): Promise<JobPresence> {
    const hasCallers = this.options.owner.cancelForAllCallers(jobId);
    // It may have been sent again, so that other instances have callers as well.
    const asked = this.ask(jobId, JobAction.Cancel, timeoutMs);
    return hasCallers ? Promise.resolve(JobPresence.Known) : asked;
  }

  /** Answers the inquiry of a peer; only a holder can tell. */
  async answer({jobId, action, scope}: JobInquiry): Promise<JobPresence> {
    const {owner} = this.options;
    const holder = this.options.findHolder();
    if (holder === undefined) return JobPresence.Uncertain;
    const isCancelled = action === JobAction.Cancel;
    const hasCallers = isCancelled
      ? owner.cancelForAllCallers(jobId)
      : owner.hasCallers(jobId);
    const atHolder = holder.inquire(jobId, action);
    const here = hasCallers ? JobPresence.Known : atHolder;
    if (scope === InquiryScope.Zone) return here;
    if (here === JobPresence.Known && !isCancelled) return here;
    const others = this.askOtherZones(jobId, action);
    if (here === JobPresence.Known) return here;
    return combinePresences([here, ...(await others)]);
  }

  /** Asks until the answer is certain or the time is over. */
  private async ask(
    jobId: string,
    action: JobAction,
    timeoutMs: Millis,
  ): Promise<JobPresence> {
    const inquiry = {jobId, action, scope: InquiryScope.AllZones};
    const endsAt = readClock() + timeoutMs;
    for (;;) {
      const remainingMs = Math.max(1, endsAt - readClock());
      const presence = await this.askHolder(inquiry, remainingMs);
      if (presence !== JobPresence.Uncertain) return presence;
      if (readClock() + INQUIRY_INTERVAL_MS >= endsAt) return presence;
      await sleep(INQUIRY_INTERVAL_MS);
    }
  }

  private askHolder(
    inquiry: JobInquiry,
    remainingMs: Millis,
  ): Promise<JobPresence> {
    const {findHolder, findHolderClient} = this.options;
    if (findHolder() !== undefined) return this.answer(inquiry);
    const timeoutMs = Math.min(INQUIRY_TIMEOUT_MS, remainingMs);
    return askClient(findHolderClient(), inquiry, timeoutMs);
  }

  private askOtherZones(
    jobId: string,
    action: JobAction,
  ): Promise<readonly JobPresence[]> {
    const inquiry = {jobId, action, scope: InquiryScope.Zone};
    const clients = this.options.listZoneClients();
    return Promise.all(
      clients.map(client =>
        askClient(client, inquiry, ZONE_INQUIRY_TIMEOUT_MS),
      ),
    );
  }
}

/** Asks one holder; a failure, as of an earlier version, tells nothing. */
async function askClient(
  client: ZoneClient | undefined,
  inquiry: JobInquiry,
  timeoutMs: Millis,
): Promise<JobPresence> {
  const result = await client?.inquire(inquiry, timeoutMs);
  return result?.isOk() === true ? result.value : JobPresence.Uncertain;
}
