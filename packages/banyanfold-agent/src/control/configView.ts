import {compileConfig, type ConfigState} from '@banyanfold/config';
import {baseModelOf} from '../memory/allocationTable.js';

/** What the configuration in force says of a model's KV cache. */
export function findKvBytesPerToken(
  state: ConfigState | undefined,
  artifact: string,
): number | undefined {
  const modelId = baseModelOf(artifact);
  const model = state?.body.models.find(
    ({name, version}) => `${name}@${version}` === modelId,
  );
  return model?.kvBytesPerToken;
}

/** Whether a known configuration has no selector that reaches the artifact. */
export function isUnpublished(
  state: ConfigState | undefined,
  artifact: string,
): boolean {
  if (!state) return false;
  const selectable = compileConfig(state.body).artifacts();
  return !selectable.some(known => known.artifact === artifact);
}
