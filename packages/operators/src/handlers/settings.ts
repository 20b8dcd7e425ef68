/** Request handlers for the settings, one for each operation. */
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
import {parseDiffQuery, parseHistoryQuery, parseNodeQuery} from './query.js';

/** A whole tree fits in one value of the platform, which is at most 1 MiB. */
const MAX_EDIT_BYTES = 1024 * 1024;

/** Handles `GET /operators/v1/settings?node=`. */
export async function handleReadSettings(
  settings: SettingsOperations,
  query: URLSearchParams,
): OperationResult<SettingsView> {
  const parsed = parseNodeQuery(query);
  return parsed.isErr() ? parsed : settings.read(parsed.value.node);
}

/** Handles `GET /operators/v1/settings/effective?node=`. */
export async function handleReadEffective(
  settings: SettingsOperations,
  query: URLSearchParams,
): OperationResult<EffectiveView> {
  const parsed = parseNodeQuery(query);
  if (parsed.isErr()) return parsed;
  return settings.readEffective(parsed.value.node ?? ROOT_PATH);
}

/** Handles `POST /operators/v1/settings/edits`. */
export async function handleEditSettings(
  settings: SettingsOperations,
  request: IncomingMessage,
): OperationResult<EditAnswer> {
  const edit = await readJson(request, editRequestSchema, MAX_EDIT_BYTES);
  return edit.isErr() ? edit : settings.edit(edit.value);
}

/** Handles `GET /operators/v1/settings/history?limit=`. */
export async function handleReadHistory(
  settings: SettingsOperations,
  query: URLSearchParams,
): OperationResult<SettingsHistory> {
  const parsed = parseHistoryQuery(query);
  return parsed.isErr() ? parsed : settings.readHistory(parsed.value.limit);
}

/** Handles `GET /operators/v1/settings/diff?from=&to=`. */
export async function handleDiffSettings(
  settings: SettingsOperations,
  query: URLSearchParams,
): OperationResult<SettingsDiff> {
  const parsed = parseDiffQuery(query);
  if (parsed.isErr()) return parsed;
  return settings.diff(parsed.value.from, parsed.value.to);
}
