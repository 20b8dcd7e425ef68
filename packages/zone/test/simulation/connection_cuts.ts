/**
 * Cuts that end connections: those across a cut are closed at once, and new
 * ones fail at once, though the processes at both ends live.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Nodes} from './network.js';
import type {Scheduler} from './scheduler.js';

/** How a new connection across a cut fails. */
export enum CutKind {
  /** As if nothing listened at the address. */
  Refuse = 'refuse',
  /** It is accepted and closed at once. */
  Reset = 'reset',
}

/** The nodes whose connections to others are cut. */
export interface CutOptions {
  readonly kind: CutKind;
  /** The nodes that open the connections. */
  readonly from: Nodes;
  readonly to: Nodes;
  readonly ms: Millis;
}

interface Cut extends Omit<CutOptions, 'ms'> {
  readonly until: Millis;
}

/** From the begin of a cut until the ends of a connection notice it, in ms. */
export const CUT_NOTICE_MS: Millis = 0.5;

/** Keeps the current cuts. */
export class ConnectionCuts {
  private cuts: Cut[] = [];
  private readonly listeners = new Set<() => void>();

  constructor(private readonly scheduler: Scheduler) {}

  /** Cuts the connections that some nodes open to others. */
  add({kind, from, to, ms}: CutOptions): void {
    this.cuts.push({kind, from, to, until: this.scheduler.now + ms});
    for (const notify of [...this.listeners]) notify();
  }

  /** Finds how a connection from one node to another fails at the moment. */
  find(from: string, to: string): CutKind | undefined {
    if (this.cuts.length === 0) return undefined;
    const {now} = this.scheduler;
    this.cuts = this.cuts.filter(({until}) => until > now);
    return this.cuts.find(cut => cut.from(from) && cut.to(to))?.kind;
  }

  /** Calls `onCut` when a cut closes such a connection; returns how to stop. */
  watch(from: string, to: string, onCut: () => void): () => void {
    const notify = () => {
      if (this.find(from, to) !== undefined) onCut();
    };
    this.listeners.add(notify);
    return () => this.listeners.delete(notify);
  }
}
