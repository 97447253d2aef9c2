import type {ResponseHeaders} from '../types.js';

/** How an answer's end can be told from its breaking off. */
export type Framing = 'length' | 'chunked' | 'until-close';

export function framingOf(headers: ResponseHeaders): Framing {
  const coding = String(headers['transfer-encoding'] ?? '').toLowerCase();
  if (coding.includes('chunked')) return 'chunked';
  return headers['content-length'] === undefined ? 'until-close' : 'length';
}
