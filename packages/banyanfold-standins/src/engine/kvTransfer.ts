import {z} from 'zod';

/** What `/kv/export` gives and `/kv/import` takes. */
export const kvExportSchema = z.object({
  requestId: z.string(),
  artifact: z.string(),
  tokens: z.number().int().min(0),
  bytes: z.number().min(0),
  /** The prompt in base64; it stands for the cache itself. */
  blob: z.string(),
});

export type KvExport = z.infer<typeof kvExportSchema>;

export function packPrompt(prompt: string): string {
  return Buffer.from(prompt, 'utf8').toString('base64');
}

export function unpackPrompt(blob: string): string {
  return Buffer.from(blob, 'base64').toString('utf8');
}
