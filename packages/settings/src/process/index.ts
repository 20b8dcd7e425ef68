/** The settings file of one process: schema, defaults and validation. */
export * from './host_port.js';
export {loadProcessSettings, parseProcessSettings} from './load.js';
export {processSettingsSchema, type ProcessSettings} from './schema.js';
