/** One model of a test configuration. */
export interface TestModel {
  name: string;
  version: string;
  weightBytes?: number;
}

/** What a test configuration is made of. */
export interface TestConfigOptions {
  models: readonly TestModel[];
  firstTokenMs?: number;
  wholeAnswerMs?: number;
}

const DEFAULT_WEIGHT_BYTES = 3_000;
const KV_BYTES_PER_TOKEN = 1;

/**
 * A configuration with one group of models and the plain service `lodging`,
 * whose calls may not be repeated.
 *
 * @example testConfig({models: [{name: 'claims', version: '1'}]})
 */
export function testConfig({
  models,
  firstTokenMs = 10_000,
  wholeAnswerMs = 30_000,
}: TestConfigOptions) {
  const targets = {firstTokenMs, betweenTokensMs: 1_000, wholeAnswerMs};
  return {
    models: models.map(model => ({
      weightBytes: DEFAULT_WEIGHT_BYTES,
      ...model,
      kvBytesPerToken: KV_BYTES_PER_TOKEN,
      labels: {use: 'models'},
    })),
    services: [{name: 'lodging', labels: {use: 'lodging'}}],
    groups: [
      {name: 'models', labelSelector: {matchLabels: {use: 'models'}}},
      {name: 'lodging', labelSelector: {matchLabels: {use: 'lodging'}}},
    ],
    selectors: [
      {
        name: 'lodge',
        match: {names: ['lodging']},
        group: 'lodging',
        priority: 0,
        repeatable: false,
        targets,
      },
      {name: 'any', match: {}, group: 'models', priority: 1, targets},
    ],
  };
}

/** Models of one version, by name. */
export function modelsOf(
  names: readonly string[],
  version: string,
): TestModel[] {
  return names.map(name => ({name, version}));
}
