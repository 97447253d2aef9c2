import type {ConfigState} from '@banyanfold/config';
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
