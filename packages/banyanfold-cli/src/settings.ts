import {readFileSync} from 'node:fs';
import {parseJsonWithComments, renderProblems} from '@banyanfold/core';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

/** Addresses and key for access to the platform and the entries. */
export const operatorSettingsSchema = z.strictObject({
  platform: z.strictObject({logUrl: z.url(), vmListUrl: z.url()}),
  /** Falls back to the environment variable BANYANFOLD_OPERATOR_KEY. */
  operatorKey: z.string().min(1).optional(),
});

export type OperatorSettings = z.infer<typeof operatorSettingsSchema>;

/**
 * Reads and validates a settings file.
 *
 * @returns the settings, or a text with the file, line, column and field of each
 *     problem.
 * @example loadSettings('entry.jsonc', entrySettingsSchema)
 */
export function loadSettings<S extends z.ZodType>(
  path: string,
  schema: S,
): Result<z.output<S>, string> {
  return readText(path).andThen(text =>
    parseJsonWithComments(path, text, schema).mapErr(renderProblems),
  );
}

/** Reads a file, or returns a message if it can't be read. */
export function readText(path: string): Result<string, string> {
  try {
    return ok(readFileSync(path, 'utf8'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err(`${path}: can't be read (${reason}); check the path`);
  }
}
