/** One function for each thing an operator can ask of the settings. */
import type {IncomingMessage} from 'node:http';
import {readJson} from '@goldcrestpier/http';
import {editRequestSchema, ROOT_PATH} from '@goldcrestpier/settings';
import {
  type EditAnswer,
  type EffectiveView,
  type SettingsDiff,
  type SettingsHistory,
  type SettingsView,
} from '../messages/index.js';
import type {OperationResult, SettingsOperations} from '../operations/index.js';
import {readDiffQuery, readHistoryQuery, readNodeQuery} from './query.js';

/** A whole tree fits the platform's value of a megabyte. */
const MAX_EDIT_BYTES = 1024 * 1024;

/** `GET /operators/v1/settings?node=` */
export async function handleReadSettings(
  settings: SettingsOperations,
  query: URLSearchParams,
): OperationResult<SettingsView> {
  const checked = readNodeQuery(query);
  return checked.isErr() ? checked : settings.read(checked.value.node);
}

/** `GET /operators/v1/settings/effective?node=` */
export async function handleReadEffective(
  settings: SettingsOperations,
  query: URLSearchParams,
): OperationResult<EffectiveView> {
  const checked = readNodeQuery(query);
  if (checked.isErr()) return checked;
  return settings.readEffective(checked.value.node ?? ROOT_PATH);
}

/** `POST /operators/v1/settings/edits` */
export async function handleEdit(
  settings: SettingsOperations,
  request: IncomingMessage,
): OperationResult<EditAnswer> {
  const edit = await readJson(request, editRequestSchema, MAX_EDIT_BYTES);
  return edit.isErr() ? edit : settings.edit(edit.value);
}

/** `GET /operators/v1/settings/history?limit=` */
export async function handleReadHistory(
  settings: SettingsOperations,
  query: URLSearchParams,
): OperationResult<SettingsHistory> {
  const checked = readHistoryQuery(query);
  return checked.isErr() ? checked : settings.readHistory(checked.value.limit);
}

/** `GET /operators/v1/settings/diff?from=&to=` */
export async function handleDiff(
  settings: SettingsOperations,
  query: URLSearchParams,
): OperationResult<SettingsDiff> {
  const checked = readDiffQuery(query);
  if (checked.isErr()) return checked;
  return settings.diff(checked.value.from, checked.value.to);
}
