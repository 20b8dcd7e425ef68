/**
 * The operators' HTTP API: reads and edits settings, lists and cancels jobs,
 * lists instances and backend servers, and drains the instance.
 */
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
