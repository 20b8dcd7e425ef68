/** What others have to hear of an instance at once. */
import type {Claim} from '../protocol/index.js';

/** The part of an instance's state that others act on. */
export interface OwnNews {
  /** The highest claim known. */
  readonly claim: Claim | undefined;
  readonly isLeaving: boolean;
  /** Of the configuration in force. */
  readonly version: number | undefined;
}

/** Keeps what was told last. */
export class ToldNews {
  private told: OwnNews | undefined;

  /** Whether this differs from what was told last; it then counts as told. */
  isNew(news: OwnNews): boolean {
    const {told} = this;
    this.told = news;
    if (told === undefined) return true;
    if (told.isLeaving !== news.isLeaving) return true;
    if (told.version !== news.version) return true;
    return told.claim?.token !== news.claim?.token;
  }
}
