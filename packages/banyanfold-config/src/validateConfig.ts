import {adapterArtifact, modelArtifact} from './artifact.js';
import {compileConfig} from './compileConfig.js';
import {groupMembers} from './labels.js';
import type {PublishedConfig} from './types.js';

/** A problem in a configuration; only errors prevent a publish. */
export interface ConfigProblem {
  severity: 'error' | 'warning';
  /** Path of the field; `locateField` finds its line. */
  path: Array<string | number>;
  message: string;
}

/** Accelerator memory of the deployment. */
export interface Capacity {
  /** Memory of all backend servers together. */
  totalBytes: number;
  /** Memory of the largest backend server. */
  largestServerBytes: number;
}

type Check = (
  config: PublishedConfig,
  capacity: Capacity | undefined,
) => ConfigProblem[];

const CHECKS: readonly Check[] = [
  checkDuplicates,
  checkNameConflicts,
  checkAdapters,
  checkSelectors,
  checkGroups,
  checkCapacity,
];

/**
 * Checks what a schema can't express: references, duplicates, empty groups and,
 * if the capacity is given, whether the models fit.
 *
 * @example validateConfig(config).filter(p => p.severity === 'error')
 */
export function validateConfig(
  config: PublishedConfig,
  options: {capacity?: Capacity} = {},
): ConfigProblem[] {
  return CHECKS.flatMap(check => check(config, options.capacity));
}

function createProblem(
  severity: ConfigProblem['severity'],
  path: ConfigProblem['path'],
  message: string,
): ConfigProblem {
  return {severity, path, message};
}

function findDuplicates(
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
    return [createProblem('error', [list, index, field], message)];
  });
}

function checkDuplicates(config: PublishedConfig): ConfigProblem[] {
  const names = (items: Array<{name: string}>) => items.map(({name}) => name);
  return [
    ...findDuplicates('models', config.models.map(modelArtifact), 'version'),
    ...findDuplicates(
      'adapters',
      config.adapters.map(adapterArtifact),
      'version',
    ),
    ...findDuplicates('services', names(config.services), 'name'),
    ...findDuplicates('groups', names(config.groups), 'name'),
    ...findDuplicates('selectors', names(config.selectors), 'name'),
  ];
}

/** Requests carry no kind, so a name must be unique across the lists. */
function checkNameConflicts(config: PublishedConfig): ConfigProblem[] {
  const listByName = new Map<string, string>();
  const problems: ConfigProblem[] = [];
  for (const list of ['models', 'adapters', 'services'] as const) {
    config[list].forEach(({name}, index) => {
      const otherList = listByName.get(name);
      if (otherList === undefined || otherList === list) {
        listByName.set(name, list);
        return;
      }
      const message = `"${name}" is used in ${otherList} as well; rename one`;
      problems.push(createProblem('error', [list, index, 'name'], message));
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
    return [createProblem('error', ['adapters', index, field], message)];
  });
}

function checkSelectors(config: PublishedConfig): ConfigProblem[] {
  const groups = new Set(config.groups.map(({name}) => name));
  return config.selectors.flatMap((selector, index) => {
    if (groups.has(selector.group)) return [];
    const message = `no group "${selector.group}" is listed`;
    return [createProblem('error', ['selectors', index, 'group'], message)];
  });
}

function checkGroups(config: PublishedConfig): ConfigProblem[] {
  return config.groups.flatMap((group, index) => {
    if (groupMembers(config, group).length > 0) return [];
    const message = `no model, adapter or service fits group "${group.name}"`;
    return [
      createProblem('warning', ['groups', index, 'labelSelector'], message),
    ];
  });
}

function checkCapacity(
  config: PublishedConfig,
  capacity: Capacity | undefined,
): ConfigProblem[] {
  if (!capacity) return [];
  const {totalBytes, largestServerBytes} = capacity;
  const tooLargeWarnings = config.models.flatMap((model, index) => {
    if (model.weightBytes <= largestServerBytes) return [];
    const path = ['models', index, 'weightBytes'];
    const message = `larger than the largest backend server (${largestServerBytes} bytes)`;
    return [createProblem('warning', path, message)];
  });
  const routableArtifacts = compileConfig(config).artifacts();
  const neededBytes = routableArtifacts.reduce(
    (sum, {bytes}) => sum + bytes,
    0,
  );
  if (neededBytes <= totalBytes) return tooLargeWarnings;
  const message = `one copy of each needs ${neededBytes} bytes; there are ${totalBytes}`;
  return [...tooLargeWarnings, createProblem('warning', ['models'], message)];
}
