import {z} from 'zod';
import type {InferenceRequest} from './EngineStream.js';
import {DEFAULT_MAX_TOKENS, renderPrompt} from './text.js';

const commonSchema = z.object({
  model: z.string(),
  max_tokens: z.number().int().positive().nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.object({include_usage: z.boolean().nullish()}).nullish(),
});

const contentPartSchema = z.object({text: z.string().optional()});

const chatSchema = commonSchema.extend({
  max_completion_tokens: z.number().int().positive().nullish(),
  messages: z
    .array(
      z.object({
        role: z.string(),
        content: z.union([z.string(), z.array(contentPartSchema)]).nullish(),
      }),
    )
    .min(1),
});

const completionSchema = commonSchema.extend({
  prompt: z.union([z.string(), z.array(z.string())]),
});

export interface RequestHeaders {
  requestId: string;
  priority: number;
}

/** @returns the request, or undefined when the body is not a chat. */
export function parseChat(
  body: unknown,
  headers: RequestHeaders,
): InferenceRequest | undefined {
  const checked = chatSchema.safeParse(body);
  if (!checked.success) return undefined;
  const {messages, max_completion_tokens: limit} = checked.data;
  const prompt = renderPrompt(messages);
  const common = commonFields(checked.data, limit);
  return {kind: 'chat', prompt, ...headers, ...common};
}

/** @returns the request, or undefined when the body is not a completion. */
export function parseCompletion(
  body: unknown,
  headers: RequestHeaders,
): InferenceRequest | undefined {
  const checked = completionSchema.safeParse(body);
  if (!checked.success) return undefined;
  const prompt = [checked.data.prompt].flat().join('\n');
  const common = commonFields(checked.data);
  return {kind: 'completion', prompt, ...headers, ...common};
}

function commonFields(
  data: z.infer<typeof commonSchema>,
  limit?: number | null,
) {
  const maxTokens = limit ?? data.max_tokens ?? undefined;
  return {
    artifact: data.model,
    maxTokens: maxTokens ?? DEFAULT_MAX_TOKENS,
    finishReason: maxTokens ? ('length' as const) : ('stop' as const),
    stream: data.stream ?? false,
    includeUsage: data.stream_options?.include_usage ?? false,
  };
}
