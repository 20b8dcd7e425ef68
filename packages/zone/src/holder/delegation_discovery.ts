/**
 * Asks the other zones, for a new holder, which tasks they run for its zone and
 * which jobs still run there though nobody waits for them.
 */
import type {Dispatcher, TaskHistory} from '@goldcrestpier/dispatch';
import {readClock, sleep, type Logger} from '@goldcrestpier/runtime';
import type {DelegatedTaskList, ZoneClient} from '../protocol/index.js';

/** Timeout of a query for the tasks that a zone runs for this one, in ms. */
const DISCOVERY_TIMEOUT_MS = 400;
/** Number of such queries to one zone, and the pause between them in ms. */
const DISCOVERY_ATTEMPTS = 20;
const DISCOVERY_INTERVAL_MS = 100;
/** Finds a client for another zone's holder; undefined if unreachable. */
export type FindZoneClient = (zone: string) => ZoneClient | undefined;

/** Dependencies of the discovery. */
export interface DelegationDiscoveryOptions {
  readonly zone: string;
  readonly token: number;
  readonly dispatcher: Dispatcher;
  /** What the instance knows of tasks. */
  readonly history: TaskHistory;
  readonly findZoneClient: FindZoneClient;
  readonly logger: Logger;
  readonly onChange: () => void;
}

/** Queries each zone until its answer is complete. */
export class DelegationDiscovery {
  constructor(private readonly options: DelegationDiscoveryOptions) {}

  /** Discovers the tasks that an earlier holder of this zone delegated. */
  async discover(zones: readonly string[]): Promise<void> {
    const {dispatcher, onChange} = this.options;
    dispatcher.delegationSurvey.expect(zones, readClock());
    await Promise.all(zones.map(zone => this.queryZone(zone)));
    onChange();
  }

  private async queryZone(zone: string): Promise<void> {
    const {dispatcher, findZoneClient, logger} = this.options;
    for (let attempt = 0; attempt < DISCOVERY_ATTEMPTS; attempt += 1) {
      const client = findZoneClient(zone);
      const {zone: homeZone, token} = this.options;
      const taskQuery = {homeZone, token};
      const result = await client?.listDelegatedTasks(
        taskQuery,
        DISCOVERY_TIMEOUT_MS,
      );
      // An instance that isn't the holder knows nothing of what runs there.
      if (result?.isOk() === true && result.value.holderToken !== undefined) {
        const {tasks, isComplete} = result.value;
        this.options.history.merge(result.value, readClock());
        this.recordAbandonedJobs(zone, result.value);
        dispatcher.handleDelegationReport(zone, result.value, readClock());
        logger.info('received the tasks that another zone runs for this one', {
          zone,
          lent: tasks.length,
          isComplete,
        });
        this.options.onChange();
        if (isComplete) return;
      }
      await sleep(DISCOVERY_INTERVAL_MS);
    }
    logger.warn(
      'no complete list of the tasks that another zone runs for this one',
      {zone},
    );
  }

  private recordAbandonedJobs(
    zone: string,
    {
      holderToken,
      abandonedJobs: jobIds = [],
      abandonedJobsLeftOut: leftOut = 0,
    }: DelegatedTaskList,
  ): void {
    if (holderToken === undefined) return;
    const report = {zone, token: holderToken, jobIds, isCut: leftOut > 0};
    this.options.dispatcher.handleAbandonedJobs(report, readClock());
  }
}
