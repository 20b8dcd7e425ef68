/** The settings file of one process: its schema, defaults and checks. */
export * from './host_port.js';
export {loadProcessSettings, parseProcessSettings} from './load.js';
export {processSettingsSchema, type ProcessSettings} from './schema.js';
