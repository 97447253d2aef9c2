import type {ServerResponse} from 'node:http';
import type {EngineStream} from './EngineStream.js';
import type {StreamSink} from './deliverStream.js';
import {renderCrossedEvent, renderEvent} from './openaiFormat.js';

/** Writes a stream's events as server-sent events. */
export function sseSink(
  response: ServerResponse,
  stream: EngineStream,
  otherRequestId: string,
): StreamSink {
  let lastWrite: Promise<unknown> = Promise.resolve();
  const write = (seq: number, data: string): void => {
    lastWrite = new Promise(resolve => {
      response.write(`id: ${seq}\ndata: ${data}\n\n`, resolve);
    });
  };
  // Destroying a connection drops what node still holds back, so that the
  // reader would miss the last event before a cut. It waits for that event.
  const cut = async (): Promise<void> => {
    await lastWrite;
    response.destroy();
  };
  return {
    send: event => write(event.seq, renderEvent(stream, event)),
    sendCrossed: seq =>
      write(seq, renderCrossedEvent(stream, otherRequestId, seq)),
    end: () => response.end(),
    cut: () => void cut(),
  };
}
