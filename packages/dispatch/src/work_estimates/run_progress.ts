/**
 * Extrapolates a run's length from the progress that its worker reports. A
 * report may be late, rounded or wrong, so a length counts as confirmed only
 * when three reports in a row, apart in time, agree on it: two wrong reports often
 * agree by chance.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Minimum progress to extrapolate from, in percent. */
const MIN_PERCENT = 4;
/** Number of reports that have to agree. */
const MIN_REPORTS = 3;
/** Minimum time from the first to the last report that agree, in ms. */
const MIN_GAP_MS = 40;
/** Progress is reported in whole percents; both reports are rounded. */
const ROUNDING_PERCENT = 1.5;
/** Relative deviation of progress up to which two reports agree. */
const AGREEMENT_SHARE = 0.2;
/** Added to the time for which a run must stand still, in ms. */
const STALL_MARGIN_MS = 60;
/** Age from which a report says nothing of the run any more, in ms. */
const MAX_AGE_MS = 600;

/** Relative error of the remaining time that agreeing reports may have. */
export const PROGRESS_ERROR = 0.15;

/** A report with the run time that it was extrapolated to. */
interface Report {
  readonly percent: number;
  readonly at: Millis;
  readonly totalMs: Millis;
}

/** Progress of one run. */
export class RunProgress {
  /** The first of the reports that agree with the last one. */
  private anchor: Report | undefined;
  private last: Report | undefined;
  private lastPercent = 0;
  private lastAdvanceAt: Millis = -Infinity;
  private hasAdvanced = false;
  private agreeing = 0;
  /** Whether a report has ever shown less progress than the one before. */
  hasGoneBack = false;

  /** Records a report of a run that started at `startedAt`. */
  record(percent: number, startedAt: Millis, now: Millis): void {
    const isBackward = percent < this.lastPercent;
    if (percent !== this.lastPercent) this.lastAdvanceAt = now;
    this.lastPercent = percent;
    if (isBackward) this.hasGoneBack = true;
    if (percent < MIN_PERCENT || isBackward) {
      this.anchor = undefined;
      this.last = undefined;
      this.hasAdvanced = false;
      return;
    }
    const totalMs = ((now - startedAt) * 100) / percent;
    const report = {percent, at: now, totalMs};
    this.last = report;
    if (this.anchor === undefined || !isConsistent(this.anchor, report)) {
      this.anchor = report;
      this.agreeing = 1;
      this.hasAdvanced = false;
    } else {
      this.agreeing += 1;
      this.hasAdvanced = percent > this.anchor.percent;
    }
  }

  /** Extrapolated run time; undefined without usable progress. */
  get totalMs(): Millis | undefined {
    return this.last?.totalMs;
  }

  /** Whether enough reports agree, the last one of them fresh. */
  isConfirmed(now: Millis): boolean {
    const {anchor, last} = this;
    if (anchor === undefined || last === undefined) return false;
    if (now - last.at > MAX_AGE_MS) return false;
    return this.areConsistent(anchor, last);
  }

  /**
   * Whether the run seems to stand still: it has never shown progress, or has
   * shown none for longer than it took to come so far. Progress may be reported
   * in coarse steps.
   */
  hasStalled(startedAt: Millis, now: Millis): boolean {
    if (this.last === undefined) return true;
    const standingMs = now - this.lastAdvanceAt;
    return standingMs > this.lastAdvanceAt - startedAt + STALL_MARGIN_MS;
  }

  /**
   * The earliest time at which the run may end by the first and the last report
   * that agree, with a margin for their error; undefined while none are confirmed.
   */
  findEarliestEnd(startedAt: Millis, now: Millis): Millis | undefined {
    const {anchor, last} = this;
    if (anchor === undefined || last === undefined) return undefined;
    if (!this.isConfirmed(now)) return undefined;
    return Math.min(
      extrapolateEarliestEnd(anchor, startedAt),
      extrapolateEarliestEnd(last, startedAt),
    );
  }

  /** When a further report may confirm the others; Infinity if none needs to. */
  get confirmableAt(): Millis {
    const {anchor, last} = this;
    if (anchor === undefined || last === undefined) return Infinity;
    return this.hasGoneBack || this.areConsistent(anchor, last)
      ? Infinity
      : anchor.at + MIN_GAP_MS;
  }

  private areConsistent(anchor: Report, last: Report): boolean {
    if (this.hasGoneBack || this.agreeing < MIN_REPORTS) return false;
    return this.hasAdvanced && last.at - anchor.at >= MIN_GAP_MS;
  }
}

function extrapolateEarliestEnd(
  {percent, at}: Report,
  startedAt: Millis,
): Millis {
  // Progress is rounded down to whole percents.
  const totalMs = ((at - startedAt) * 100) / (percent + 1);
  const remainingMs = Math.max(0, startedAt + totalMs - at);
  return at + remainingMs * (1 - PROGRESS_ERROR);
}

/** Whether progress has gone on as the earlier report says. */
function isConsistent(earlier: Report, later: Report): boolean {
  const advance = ((later.at - earlier.at) * 100) / earlier.totalMs;
  const deviation = Math.abs(later.percent - earlier.percent - advance);
  return deviation <= ROUNDING_PERCENT + AGREEMENT_SHARE * advance;
}
