import {adapterArtifact, modelArtifact} from './artifact.js';
import {compileConfig} from './compileConfig.js';
import {groupMembers} from './labels.js';
import type {PublishedConfig} from './types.js';

/** A warning doesn't keep a configuration from being published. */
export interface ConfigProblem {
  severity: 'error' | 'warning';
  /** Where in the configuration; `locateField` finds its line. */
  path: Array<string | number>;
  message: string;
}

/** What the deployment can hold. */
export interface Capacity {
  /** All accelerator memory. */
  totalBytes: number;
  /** That of the largest backend server. */
  largestServerBytes: number;
}

type Check = (
  config: PublishedConfig,
  capacity: Capacity | undefined,
) => ConfigProblem[];

const CHECKS: readonly Check[] = [
  checkDuplicates,
  checkClashes,
  checkAdapters,
  checkSelectors,
  checkGroups,
  checkCapacity,
];

/**
 * Checks what a schema can't: references, duplicates, empty groups and, when
 * the capacity is given, whether the models fit.
 *
 * @example validateConfig(config).filter(p => p.severity === 'error')
 */
export function validateConfig(
  config: PublishedConfig,
  options: {capacity?: Capacity} = {},
): ConfigProblem[] {
  return CHECKS.flatMap(check => check(config, options.capacity));
}

function problem(
  severity: ConfigProblem['severity'],
  path: ConfigProblem['path'],
  message: string,
): ConfigProblem {
  return {severity, path, message};
}

function duplicatesIn(
  list: string,
  keys: string[],
  field: string,
): ConfigProblem[] {
  const seen = new Set<string>();
  return keys.flatMap((key, index) => {
    if (!seen.has(key)) {
      seen.add(key);
      return [];
    }
    const message = `"${key}" is listed twice; remove one`;
    return [problem('error', [list, index, field], message)];
  });
}

function checkDuplicates(config: PublishedConfig): ConfigProblem[] {
  const names = (items: Array<{name: string}>) => items.map(({name}) => name);
  return [
    ...duplicatesIn('models', config.models.map(modelArtifact), 'version'),
    ...duplicatesIn(
      'adapters',
      config.adapters.map(adapterArtifact),
      'version',
    ),
    ...duplicatesIn('services', names(config.services), 'name'),
    ...duplicatesIn('groups', names(config.groups), 'name'),
    ...duplicatesIn('selectors', names(config.selectors), 'name'),
  ];
}

/** A request names only a name, so that one name means one kind of thing. */
function checkClashes(config: PublishedConfig): ConfigProblem[] {
  const kinds = new Map<string, string>();
  const problems: ConfigProblem[] = [];
  for (const list of ['models', 'adapters', 'services'] as const) {
    config[list].forEach(({name}, index) => {
      const other = kinds.get(name);
      if (other === undefined || other === list) {
        kinds.set(name, list);
        return;
      }
      const message = `"${name}" is used in ${other} as well; rename one`;
      problems.push(problem('error', [list, index, 'name'], message));
    });
  }
  return problems;
}

function checkAdapters(config: PublishedConfig): ConfigProblem[] {
  const models = new Set(config.models.map(modelArtifact));
  return config.adapters.flatMap((adapter, index) => {
    const base = modelArtifact({
      name: adapter.model,
      version: adapter.modelVersion,
    });
    if (models.has(base)) return [];
    const isKnownName = config.models.some(({name}) => name === adapter.model);
    const field = isKnownName ? 'modelVersion' : 'model';
    const message = `no model "${base}" is listed`;
    return [problem('error', ['adapters', index, field], message)];
  });
}

function checkSelectors(config: PublishedConfig): ConfigProblem[] {
  const groups = new Set(config.groups.map(({name}) => name));
  return config.selectors.flatMap((selector, index) => {
    if (groups.has(selector.group)) return [];
    const message = `no group "${selector.group}" is listed`;
    return [problem('error', ['selectors', index, 'group'], message)];
  });
}

function checkGroups(config: PublishedConfig): ConfigProblem[] {
  return config.groups.flatMap((group, index) => {
    if (groupMembers(config, group).length > 0) return [];
    const message = `no model, adapter or service fits group "${group.name}"`;
    return [problem('warning', ['groups', index, 'labelSelector'], message)];
  });
}

function checkCapacity(
  config: PublishedConfig,
  capacity: Capacity | undefined,
): ConfigProblem[] {
  if (!capacity) return [];
  const {totalBytes, largestServerBytes} = capacity;
  const tooLarge = config.models.flatMap((model, index) => {
    if (model.weightBytes <= largestServerBytes) return [];
    const path = ['models', index, 'weightBytes'];
    const message = `larger than the largest backend server (${largestServerBytes} bytes)`;
    return [problem('warning', path, message)];
  });
  const labelled = compileConfig(config).artifacts();
  const neededBytes = labelled.reduce((sum, {bytes}) => sum + bytes, 0);
  if (neededBytes <= totalBytes) return tooLarge;
  const message = `one copy of each needs ${neededBytes} bytes; there are ${totalBytes}`;
  return [...tooLarge, problem('warning', ['models'], message)];
}
