import {createHash} from 'node:crypto';

const CHARS_PER_TOKEN = 4;
const WORD_RADIX = 36;
const WORD_LENGTH = 3;
const WORD_COUNT = WORD_RADIX ** WORD_LENGTH;
const HASH_STEP = 0x9e3779b1;
const HASH_SHIFT = 15;

/** A request that does not limit its answer gets this many tokens. */
export const DEFAULT_MAX_TOKENS = 64;

/** The usual estimate: four characters a token, at least one token. */
export function countTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARS_PER_TOKEN));
}

/** What `tokenText` needs to know about a prompt. */
export function textSeed(artifact: string, prompt: string): number {
  const digest = createHash('sha256').update(`${artifact}\n${prompt}`).digest();
  return digest.readUInt32LE(0);
}

/** The text of the answer's token `index`, counted from 0. */
export function tokenText(seed: number, index: number): string {
  const mixed = Math.imul(seed ^ (index + 1), HASH_STEP) >>> 0;
  const number = (mixed ^ (mixed >>> HASH_SHIFT)) % WORD_COUNT;
  const word = number.toString(WORD_RADIX).padStart(WORD_LENGTH, '0');
  return index === 0 ? word : ` ${word}`;
}

/**
 * The whole answer that an engine gives to a prompt.
 *
 * @example expectedText('claims@3', renderPrompt(messages), 16)
 */
export function expectedText(
  artifact: string,
  prompt: string,
  maxTokens: number = DEFAULT_MAX_TOKENS,
): string {
  const seed = textSeed(artifact, prompt);
  let text = '';
  for (let index = 0; index < maxTokens; index++) {
    text += tokenText(seed, index);
  }
  return text;
}

export interface ChatMessage {
  role: string;
  content?: string | Array<{text?: string}> | null;
}

/** The prompt of a chat: one `role: content` line a message. */
export function renderPrompt(messages: readonly ChatMessage[]): string {
  return messages
    .map(({role, content}) => `${role}: ${contentText(content)}\n`)
    .join('');
}

function contentText(content: ChatMessage['content']): string {
  if (typeof content === 'string') return content;
  return (content ?? []).map(part => part.text ?? '').join('');
}
