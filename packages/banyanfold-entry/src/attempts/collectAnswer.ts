import type {WholeAnswer} from '../requests/types.js';
import {forwardableHeaders, type AttemptAnswer} from './attemptResponse.js';

/**
 * Reads the whole body of an answer that isn't streamed.
 *
 * An answer with neither a length nor chunked encoding ends with its
 * connection, so a broken connection would make a partial body look complete.
 * Such an answer is rejected.
 *
 * @returns the answer, or the reason for rejecting it.
 */
export async function collectAnswer(
  reply: AttemptAnswer,
  limitBytes: number,
): Promise<WholeAnswer | string> {
  const {headers, body, status} = reply;
  // The body can emit an error after the loop below has ended.
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
