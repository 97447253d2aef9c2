import {createHash} from 'node:crypto';
import {z} from 'zod';
import {ApiError} from '../http/apiErrors.js';
import {promptPrefix} from './promptPrefix.js';
import type {RequestMetadata} from './types.js';

const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_MAX_TOKENS = 512;
const PREFIX_HASH_LENGTH = 16;

/** Some clients send the largest 32-bit number for no limit. */
const MAX_TOKENS = 2 ** 31 - 1;
const TOKEN_RANGE = `must be a whole number from 1 to ${MAX_TOKENS}`;

const countSchema = z
  .number(TOKEN_RANGE)
  .int(TOKEN_RANGE)
  .min(1, TOKEN_RANGE)
  .max(MAX_TOKENS, TOKEN_RANGE)
  .nullish();

const completionSchema = z.looseObject({
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  max_tokens: countSchema,
  max_completion_tokens: countSchema,
  messages: z.array(z.unknown()).optional(),
  prompt: z.unknown().optional(),
});

/**
 * Parses the fields of a completion request that routing needs. The engine
 * validates the rest.
 *
 * @throws ApiError `invalid_request` with the path of the invalid field.
 */
export function parseCompletion(body: Buffer): RequestMetadata {
  const checked = completionSchema.safeParse(parseJson(body));
  if (!checked.success) {
    const {path, message} = checked.error.issues[0]!;
    throw new ApiError('invalid_request', `${path.join('.')}: ${message}`);
  }
  const request = checked.data;
  return {
    isService: false,
    requestedName: request.model,
    stream: request.stream === true,
    promptTokens: Math.ceil(body.length / CHARACTERS_PER_TOKEN),
    maxTokens:
      request.max_completion_tokens ?? request.max_tokens ?? DEFAULT_MAX_TOKENS,
    prefixText: promptPrefix(request.messages ?? request.prompt ?? ''),
  };
}

/** The metadata of a service call, whose body is forwarded without parsing. */
export function serviceMetadata(service: string): RequestMetadata {
  return {
    isService: true,
    requestedName: service,
    stream: false,
    promptTokens: 0,
    maxTokens: 0,
    prefixText: '',
  };
}

/**
 * The hash under which agents report a cached prefix, or '' without a prefix.
 * It includes the artifact, because cached prefixes can't be shared between
 * models.
 */
export function prefixHashOf(artifact: string, prefixText: string): string {
  if (prefixText === '') return '';
  const hash = createHash('sha256').update(`${artifact}\n${prefixText}`);
  return hash.digest('hex').slice(0, PREFIX_HASH_LENGTH);
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw new ApiError('invalid_request', 'the body is not valid JSON');
  }
}
