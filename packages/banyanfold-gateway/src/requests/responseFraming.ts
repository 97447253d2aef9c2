import type {ResponseHeaders} from '../types.js';

/** How the end of a response is marked, which tells it from a truncation. */
export type Framing = 'length' | 'chunked' | 'until-close';

/** Returns the framing that the headers of a response declare. */
export function framingOf(headers: ResponseHeaders): Framing {
  const coding = String(headers['transfer-encoding'] ?? '').toLowerCase();
  if (coding.includes('chunked')) return 'chunked';
  return headers['content-length'] === undefined ? 'until-close' : 'length';
}
