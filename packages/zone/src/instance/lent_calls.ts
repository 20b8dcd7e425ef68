/** Answers the holders of other zones for the tasks that they lend to this one. */
import {outdatedRefusal, type Holder} from '../holder/index.js';
import type {
  Lending,
  LentAnswer,
  LentList,
  LentQuestion,
  Recall,
} from '../protocol/index.js';
import type {NeighbourZones} from './neighbour_zones.js';

/** The calls about lent tasks at one instance. */
export class LentCalls {
  /** `findHolder` finds the holder in this process, while there is one. */
  constructor(
    private readonly zones: NeighbourZones,
    private readonly findHolder: () => Holder | undefined,
  ) {}

  /** Runs a task that the holder of another zone lends. */
  async lend(message: Lending): Promise<LentAnswer> {
    const holder = this.findHolder();
    if (holder === undefined) {
      return {answer: {kind: 'not_holder', mayHaveStarted: false}};
    }
    const {homeZone, token} = message;
    // Its follower was told what is lent, and knows nothing of this one.
    if (!this.zones.noteToken(homeZone, token)) {
      return {answer: outdatedRefusal};
    }
    const answer = await holder.takeLent(message);
    return {answer, rooms: holder.findRooms()};
  }

  /** Stops a task that another zone takes back. */
  recall({homeZone, token, task}: Recall): Promise<boolean> {
    const holder = this.findHolder();
    const isInForce = this.zones.noteToken(homeZone, token);
    if (isInForce) holder?.recall(homeZone, task);
    return Promise.resolve(holder !== undefined);
  }

  /** What runs here for another zone, as far as this instance knows. */
  listLent({homeZone, token}: LentQuestion): Promise<LentList> {
    this.zones.noteToken(homeZone, token);
    const unknown = {isComplete: false, tasks: []};
    return Promise.resolve(this.findHolder()?.listLent(homeZone) ?? unknown);
  }
}
