import {z} from 'zod';
import {publishedConfigSchema, type PublishedConfig} from './types.js';
import {validateConfig} from './validateConfig.js';

const offsetSchema = z.number().int().nonnegative();

/** A change by an operator; void unless `baseVersion` is the version in force. */
export const publishRecordSchema = z.object({
  kind: z.literal('publish'),
  /** The version that the change is based on; 0 for the first publish. */
  baseVersion: offsetSchema,
  nonce: z.string(),
  publisher: z.string(),
  body: z.unknown(),
});

/** The state as of an offset, appended again before its record expires. */
export const checkpointRecordSchema = z.object({
  kind: z.literal('checkpoint'),
  version: offsetSchema.positive(),
  foldedThrough: offsetSchema.positive(),
  body: z.unknown(),
});

const configRecordSchema = z.discriminatedUnion('kind', [
  publishRecordSchema,
  checkpointRecordSchema,
]);

export type PublishRecord = z.infer<typeof publishRecordSchema>;
export type CheckpointRecord = z.infer<typeof checkpointRecordSchema>;

/** The configuration in force and the log offset that it reflects. */
export interface ConfigState {
  /** The offset of the record that published it. */
  version: number;
  foldedThrough: number;
  body: PublishedConfig;
}

/** A value of the `config` stream as the fold interprets it. */
export type ConfigEvent =
  | {kind: 'publish'; baseVersion: number; nonce: string; body: ValidBody}
  | {kind: 'checkpoint'; state: ConfigState}
  | {kind: 'junk'};

type ValidBody = PublishedConfig | undefined;

/** Parses a value of the stream; a value that is no valid record is junk. */
export function readConfigEvent(value: unknown, offset: number): ConfigEvent {
  const parsed = configRecordSchema.safeParse(value);
  if (!parsed.success) return {kind: 'junk'};
  const record = parsed.data;
  if (record.kind === 'publish') {
    const {baseVersion, nonce} = record;
    return {kind: 'publish', baseVersion, nonce, body: parseBody(record.body)};
  }
  const state = readConfigState(record);
  if (!state || state.foldedThrough >= offset) return {kind: 'junk'};
  return {kind: 'checkpoint', state};
}

/** Parses a state received from a peer; returns undefined if it is invalid. */
export function readConfigState(value: unknown): ConfigState | undefined {
  const parsed = checkpointRecordSchema.omit({kind: true}).safeParse(value);
  if (!parsed.success) return undefined;
  const {version, foldedThrough} = parsed.data;
  const body = parseBody(parsed.data.body);
  if (!body || version > foldedThrough) return undefined;
  return {version, foldedThrough, body};
}

function parseBody(value: unknown): ValidBody {
  const parsed = publishedConfigSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const problems = validateConfig(parsed.data);
  const hasError = problems.some(({severity}) => severity === 'error');
  return hasError ? undefined : parsed.data;
}
