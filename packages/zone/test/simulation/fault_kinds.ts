/** Kinds of faults that a simulation can inject. */

/** Kinds of faults. */
export enum Fault {
  Kill = 'kill',
  Freeze = 'freeze',
  Overload = 'strain',
  PlannedStop = 'leave',
  StoreOutage = 'store_away',
  PartitionMachine = 'cut_machine',
  PartitionZones = 'cut_zones',
  PartitionFromWorkers = 'cut_from_workers',
  PartitionFromStore = 'cut_from_store',
  DelayMachine = 'delay_machine',
  PartitionWorkers = 'cut_workers',
  CrashWorkers = 'crash_workers',
  DrainWorkers = 'drain_workers',
  DelayRequests = 'late_orders',
  ResetCallers = 'reset_callers',
  /** Messages may arrive after their sender has closed the connection. */
  DeliverStale = 'held_messages',
  /** Unanswered requests are executed late by whichever process runs then. */
  LateRequests = 'late_requests',
  /** Workers restart at once under their ids, some as another kind. */
  QuickRestarts = 'quick_restarts',
  /** Connections are closed and refused, though the processes live. */
  CutConnections = 'cut_connections',
  /** Runs on some workers take several times as long for a while. */
  SlowWorkers = 'slow_workers',
  /** Runs on some workers make no progress for a while. */
  StandingWorkers = 'standing_workers',
  /** Workers execute requests in time and answer them late. */
  LateAnswers = 'late_answers',
  /** Tasks that start on some workers take far longer than declared. */
  LongTasks = 'long_tasks',
}

/** Kinds that are left out unless they are requested. */
const optionalFaults = [
  Fault.DeliverStale,
  Fault.LateRequests,
  Fault.QuickRestarts,
  Fault.CutConnections,
  Fault.SlowWorkers,
  Fault.StandingWorkers,
  Fault.LateAnswers,
  Fault.LongTasks,
];

/** All kinds but the optional ones that are not requested. */
export function listFaults(requested: readonly Fault[]): readonly Fault[] {
  return Object.values(Fault).filter(
    kind => !optionalFaults.includes(kind) || requested.includes(kind),
  );
}
