/** Edits of the tree: checked whole, written in one transaction. */
export {
  applyEdits,
  createEditId,
  EditKind,
  editRequestSchema,
  settingsEditSchema,
  type EditRequest,
  type SettingsEdit,
} from './edit.js';
export {SettingsStore, type EditAnswer} from './store.js';
export {HISTORY_KEPT} from './layout.js';
