import {z} from 'zod';
import {publishedConfigSchema, type PublishedConfig} from './types.js';
import {validateConfig} from './validateConfig.js';

const offsetSchema = z.number().int().nonnegative();

/** An operator's change; void unless `baseVersion` is the one in force. */
export const publishRecordSchema = z.object({
  kind: z.literal('publish'),
  /** The offset of the version it was based on; 0 for the first. */
  baseVersion: offsetSchema,
  nonce: z.string(),
  publisher: z.string(),
  body: z.unknown(),
});

/** The state as of an offset, appended again before the log forgets it. */
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

/** The configuration in force, and how far the log was folded for it. */
export interface ConfigState {
  /** The offset of the record that published it. */
  version: number;
  foldedThrough: number;
  body: PublishedConfig;
}

/** What a value in the `config` stream means to the fold. */
export type ConfigEvent =
  | {kind: 'publish'; baseVersion: number; nonce: string; body: BodyResult}
  | {kind: 'checkpoint'; state: ConfigState}
  | {kind: 'junk'};

type BodyResult = PublishedConfig | undefined;

/** Reads a value of the stream; whatever isn't a record of ours is junk. */
export function readConfigEvent(value: unknown, offset: number): ConfigEvent {
  const parsed = configRecordSchema.safeParse(value);
  if (!parsed.success) return {kind: 'junk'};
  const record = parsed.data;
  if (record.kind === 'publish') {
    const {baseVersion, nonce} = record;
    return {kind: 'publish', baseVersion, nonce, body: readBody(record.body)};
  }
  const state = readConfigState(record);
  if (!state || state.foldedThrough >= offset) return {kind: 'junk'};
  return {kind: 'checkpoint', state};
}

/** Reads a state sent by a peer, or undefined when it is none. */
export function readConfigState(value: unknown): ConfigState | undefined {
  const parsed = checkpointRecordSchema.omit({kind: true}).safeParse(value);
  if (!parsed.success) return undefined;
  const {version, foldedThrough} = parsed.data;
  const body = readBody(parsed.data.body);
  if (!body || version > foldedThrough) return undefined;
  return {version, foldedThrough, body};
}

function readBody(value: unknown): BodyResult {
  const parsed = publishedConfigSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const problems = validateConfig(parsed.data);
  const hasError = problems.some(({severity}) => severity === 'error');
  return hasError ? undefined : parsed.data;
}
