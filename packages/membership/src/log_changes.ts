/** Says what became of other instances, in few lines however many change. */
import {SparseLog} from '@goldcrestpier/peers';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import {InstanceState, type KnownInstance} from './view/index.js';

/** Writes one line for each zone and state, at most once in a while. */
export class ChangeLog {
  private readonly lines: SparseLog;

  constructor(logger: Logger) {
    this.lines = new SparseLog(logger);
  }

  /** Notes the present states of instances that changed. */
  write(changed: readonly KnownInstance[], now: Millis): void {
    const groups = new Map<string, KnownInstance[]>();
    for (const known of changed) {
      const key = `${known.member.zone} ${known.state}`;
      groups.set(key, [...(groups.get(key) ?? []), known]);
    }
    for (const [subject, group] of groups) this.writeGroup(subject, group, now);
  }

  private writeGroup(
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
        return this.lines.info('instance answers', subject, fields, now);
      case InstanceState.Leaving:
        return this.lines.info('instance leaves', subject, fields, now);
      case InstanceState.Suspect:
        return this.lines.warn('instance is silent', subject, fields, now);
      case InstanceState.Gone:
        return this.lines.warn('instance is gone', subject, fields, now);
    }
  }
}
