import {
  locateField,
  parseJsonWithComments,
  type FileProblem,
} from '@banyanfold/core';
import {err, ok, type Result} from 'neverthrow';
import {publishedConfigSchema, type PublishedConfig} from './types.js';
import {
  validateConfig,
  type Capacity,
  type ConfigProblem,
} from './validateConfig.js';

/** A configuration without errors, with its warnings. */
export interface ParsedConfig {
  config: PublishedConfig;
  warnings: FileProblem[];
}

/**
 * Parses and validates a configuration file.
 *
 * @returns the configuration with its warnings, or every error with its
 *     file, line and column.
 * @example parseConfig('fold.jsonc', text).mapErr(renderProblems)
 */
export function parseConfig(
  fileName: string,
  text: string,
  options: {capacity?: Capacity} = {},
): Result<ParsedConfig, FileProblem[]> {
  const parsed = parseJsonWithComments(fileName, text, publishedConfigSchema);
  if (parsed.isErr()) return err(parsed.error);
  const problems = validateConfig(parsed.value, options);
  const toFileProblem = (problem: ConfigProblem): FileProblem => ({
    where: `${fileName}:${locateField(text, problem.path)}`,
    field: renderPath(problem.path),
    message: problem.message,
  });
  const errors = problems.filter(({severity}) => severity === 'error');
  if (errors.length > 0) return err(errors.map(toFileProblem));
  return ok({config: parsed.value, warnings: problems.map(toFileProblem)});
}

function renderPath(path: ConfigProblem['path']): string {
  return path.reduce<string>((text, key) => {
    if (typeof key === 'number') return `${text}[${key}]`;
    return text ? `${text}.${key}` : key;
  }, '');
}
