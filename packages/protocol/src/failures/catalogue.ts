/** The one catalogue of failures: title, status, message and hint of each. */
import type {FailureCode} from './codes.js';
import type {FailureEntries} from './entry.js';
import {outcomes} from './outcomes.js';
import {refusals} from './refusals.js';

export type {FailureEntry} from './entry.js';

/** Every failure with its fixed parts. */
export const failureCatalogue: FailureEntries<FailureCode> = {
  ...refusals,
  ...outcomes,
};
