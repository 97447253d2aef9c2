import {compileConfig, type ConfigState} from '@banyanfold/config';
import {modelOf} from '../memory/allocationTable.js';

/** What the configuration in force says of a model's KV cache. */
export function kvBytesPerTokenOf(
  state: ConfigState | undefined,
  artifact: string,
): number | undefined {
  const wanted = modelOf(artifact);
  const model = state?.body.models.find(
    ({name, version}) => `${name}@${version}` === wanted,
  );
  return model?.kvBytesPerToken;
}

/** Whether a known configuration has no selector that reaches the artifact. */
export function isUnpublished(
  state: ConfigState | undefined,
  artifact: string,
): boolean {
  if (!state) return false;
  const labelled = compileConfig(state.body).artifacts();
  return !labelled.some(known => known.artifact === artifact);
}
