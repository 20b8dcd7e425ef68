/** The settings tree, in which each node inherits from its parent. */
export {MAX_TREE_BYTES} from './check.js';
export {diffNodes, KIND_KEY} from './diff.js';
export {
  formatDocument,
  parseDocument,
  parseSettingValue,
  type SettingsDocument,
} from './document.js';
export {toSnakeCase} from './keys.js';
export {
  isTable,
  settingsNodeSchema,
  type NodeValues,
  type SettingsNode,
  type SettingsNodes,
} from './node.js';
export {
  getNodeName,
  getParentPath,
  isNodePath,
  ROOT_PATH,
  normalizeNodePath,
} from './path.js';
export * from './schema.js';
export {traceValues, type TracedValue} from './trace.js';
export {SettingsTree, type SettingsSnapshot} from './tree.js';
