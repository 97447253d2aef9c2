import {z} from 'zod';

/** The engines' first cache block: 256 tokens of about four characters. */
const BLOCK_CHARACTERS = 1024;

const partSchema = z.looseObject({text: z.string().catch('')});

const messageSchema = z.looseObject({
  role: z.string().catch(''),
  content: z.union([z.string(), z.array(partSchema)]).catch(''),
});

type Message = z.infer<typeof messageSchema>;

/**
 * Returns the text of the first cache block of a prompt, rendered like the
 * engines do: one `role: content` line per message. It is empty for a prompt
 * shorter than a block, which no engine caches.
 *
 * @example promptPrefix([{role: 'user', content: 'long text …'}])
 */
export function promptPrefix(prompt: unknown): string {
  const text = Array.isArray(prompt) ? renderMessages(prompt) : String(prompt);
  if (text.length < BLOCK_CHARACTERS) return '';
  return text.slice(0, BLOCK_CHARACTERS);
}

/** Renders messages until the first block is full. */
function renderMessages(messages: unknown[]): string {
  let text = '';
  for (const message of messages) {
    const parsed = messageSchema.safeParse(message);
    if (parsed.success) text += renderMessage(parsed.data);
    if (text.length >= BLOCK_CHARACTERS) break;
  }
  return text;
}

function renderMessage({role, content}: Message): string {
  const text =
    typeof content === 'string'
      ? content
      : content.map(part => part.text).join('');
  return `${role}: ${text}\n`;
}
