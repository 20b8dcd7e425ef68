/** Logs state changes of other instances with a bounded number of lines. */
import {RateLimitedLogger} from '@goldcrestpier/peers';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import {InstanceState, type KnownInstance} from './view/index.js';

/** Logs one rate-limited line per zone and state. */
export class StateChangeLogger {
  private readonly log: RateLimitedLogger;

  constructor(logger: Logger) {
    this.log = new RateLimitedLogger(logger);
  }

  /** Logs the new states of changed instances, grouped by zone and state. */
  logChanges(changed: readonly KnownInstance[], now: Millis): void {
    const groups = new Map<string, KnownInstance[]>();
    for (const known of changed) {
      const key = `${known.member.zone} ${known.state}`;
      groups.set(key, [...(groups.get(key) ?? []), known]);
    }
    for (const [subject, group] of groups) this.logGroup(subject, group, now);
  }

  private logGroup(
    subject: string,
    group: readonly KnownInstance[],
    now: Millis,
  ): void {
    const [first] = group;
    if (first === undefined) return;
    const {zone, incarnation} = first.member;
    const fields = {zone, count: group.length, first: incarnation};
    switch (first.state) {
      case InstanceState.Live:
        return this.log.info('instance is live', subject, fields, now);
      case InstanceState.Leaving:
        return this.log.info('instance is leaving', subject, fields, now);
      case InstanceState.Suspect:
        return this.log.warn(
          'instance is not responding',
          subject,
          fields,
          now,
        );
      case InstanceState.Gone:
        return this.log.warn('instance is gone', subject, fields, now);
    }
  }
}
