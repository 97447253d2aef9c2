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
  const write = (seq: number, data: string): void => {
    response.write(`id: ${seq}\ndata: ${data}\n\n`);
  };
  return {
    send: event => write(event.seq, renderEvent(stream, event)),
    sendCrossed: seq =>
      write(seq, renderCrossedEvent(stream, otherRequestId, seq)),
    end: () => response.end(),
    cut: () => response.destroy(),
  };
}
