/**
 * Extrapolates a run's length from the progress that its worker reports. A
 * report may be late, rounded or wrong, so a length counts as confirmed only
 * when two reports apart in time agree on it.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Minimum progress to extrapolate from, in percent. */
const MIN_PERCENT = 4;
/** Minimum time between two reports that confirm each other, in ms. */
const MIN_GAP_MS = 40;
/** Progress is reported in whole percents; both reports are rounded. */
const ROUNDING_PERCENT = 1.5;
/** Relative deviation of progress up to which two reports agree. */
const AGREEMENT_SHARE = 0.2;
/** Added to the time for which a run must stand still, in ms. */
const STALL_MARGIN_MS = 60;
/** Age from which a report says nothing of the run any more, in ms. */
const MAX_AGE_MS = 600;

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

  /** Records a report of a run that started at `startedAt`. */
  record(percent: number, startedAt: Millis, now: Millis): void {
    const isBackward = percent < this.lastPercent;
    if (percent !== this.lastPercent) this.lastAdvanceAt = now;
    this.lastPercent = percent;
    if (percent < MIN_PERCENT || isBackward) {
      this.anchor = undefined;
      this.last = undefined;
      this.hasAdvanced = false;
      return;
    }
    const totalMs = ((now - startedAt) * 100) / percent;
    const report = {percent, at: now, totalMs};
    this.last = report;
    if (this.anchor === undefined || !doAgree(this.anchor, report)) {
      this.anchor = report;
      this.hasAdvanced = false;
    } else {
      this.hasAdvanced = percent > this.anchor.percent;
    }
  }

  /** Extrapolated run time; undefined without usable progress. */
  get totalMs(): Millis | undefined {
    return this.last?.totalMs;
  }

  /** Whether two reports apart in time agree, the last one of them fresh. */
  isConfirmed(now: Millis): boolean {
    const {anchor, last} = this;
    if (anchor === undefined || last === undefined) return false;
    if (now - last.at > MAX_AGE_MS) return false;
    return this.hasAdvanced && last.at - anchor.at >= MIN_GAP_MS;
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

  /** Whether a second report is needed to confirm the only one. */
  get confirmableAt(): Millis {
    const {anchor, last} = this;
    if (anchor === undefined || last === undefined) return Infinity;
    return this.hasAdvanced && last.at - anchor.at >= MIN_GAP_MS
      ? Infinity
      : anchor.at + MIN_GAP_MS;
  }
}

/** Whether progress has gone on as the earlier report says. */
function doAgree(earlier: Report, later: Report): boolean {
  const advance = ((later.at - earlier.at) * 100) / earlier.totalMs;
  const deviation = Math.abs(later.percent - earlier.percent - advance);
  return deviation <= ROUNDING_PERCENT + AGREEMENT_SHARE * advance;
}
