import type {WholeAnswer} from '../requests/types.js';
import {forwardableHeaders, type AttemptAnswer} from './attemptResponse.js';

/**
 * Reads an answer that isn't streamed, to its end.
 *
 * A connection that breaks in an answer without a length looks like its end.
 * Such an answer is not taken, so that no part can pass for the whole.
 *
 * @returns the answer, or why it can't be taken.
 */
export async function collectAnswer(
  reply: AttemptAnswer,
  limitBytes: number,
): Promise<WholeAnswer | string> {
  const {headers, body, status} = reply;
  // The loop below may be left before the error that its end gives comes.
  body.on('error', () => {});
  const lengthText = headers['content-length'];
  const isChunked = headers['transfer-encoding']?.includes('chunked') === true;
  if (lengthText === undefined && !isChunked) {
    body.destroy();
    return 'no-length';
  }
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const chunk of body as AsyncIterable<Buffer>) {
      sizeBytes += chunk.length;
      if (sizeBytes > limitBytes) return 'too-long';
      chunks.push(chunk);
    }
  } catch (error) {
    return (error as {code?: string}).code ?? 'broken';
  }
  if (lengthText !== undefined && sizeBytes !== Number(lengthText)) {
    return 'truncated';
  }
  return {
    status,
    headers: {
      ...forwardableHeaders(headers),
      'content-length': String(sizeBytes),
    },
    body: Buffer.concat(chunks),
  };
}
