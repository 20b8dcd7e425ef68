/** Dependencies that all components of an entry instance share. */
import {
  createIncarnation,
  formatIncarnation,
  type Incarnation,
} from '@goldcrestpier/protocol';
import {Lifecycle, Logs} from '@goldcrestpier/runtime';
import type {ProcessSettings} from '@goldcrestpier/settings';
import {Metrics} from '../metrics/index.js';

const PROGRAM = 'goldcrestpier';

/** Dependencies that all components of an entry instance share. */
export interface Context {
  readonly settings: ProcessSettings;
  readonly self: Incarnation;
  /** `self` in its text form. */
  readonly incarnation: string;
  readonly logs: Logs;
  readonly lifecycle: Lifecycle;
  readonly metrics: Metrics;
}

/** Creates the incarnation, logs, lifecycle and metrics of an instance. */
export function createContext(settings: ProcessSettings): Context {
  const self = createIncarnation(settings.zone, settings.instance);
  return {
    settings,
    self,
    incarnation: formatIncarnation(self),
    logs: new Logs(PROGRAM, settings.logs.level),
    lifecycle: new Lifecycle(PROGRAM),
    metrics: new Metrics(),
  };
}
