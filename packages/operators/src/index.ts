/** The operators' listener: settings, jobs, instances, servers and drain. */
export * from './messages/index.js';
export * from './operations/index.js';
export {
  createOperatorsHandler,
  type OperatorsOptions,
} from './server/handler.js';
export {createOperatorsServer} from './server/server.js';
export {
  createSettingsOperations,
  type EditableSettings,
  type SettingsSources,
} from './views/index.js';
