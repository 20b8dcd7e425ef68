/** Edits the tree: validates it as a whole, writes it in one transaction. */
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
export {MAX_HISTORY_RECORDS} from './layout.js';
