/** Every setting in force at one node, with the node that it comes from. */
import {
  createFailure,
  FailureCode,
  type Failure,
} from '@goldcrestpier/protocol';
import {traceValues, type SettingsTree} from '@goldcrestpier/settings';
import {Err, Ok, type Result} from 'ts-results-es';
import type {EffectiveView} from '../messages/index.js';

/** Lists what is in force at `node`. */
export function listEffective(
  tree: SettingsTree,
  node: string,
): Result<EffectiveView, Failure> {
  const traced = traceValues(tree, node);
  if (traced === undefined) {
    return Err(createFailure(FailureCode.SettingsUnknownNode, {node}));
  }
  const values = traced.map(({from, ...value}) =>
    from === undefined ? value : {...value, from},
  );
  return Ok({revision: tree.revision, node, values});
}
