import type {EngineStream, StreamEvent} from './EngineStream.js';
import type {EngineFaults} from './options.js';

/** Where the events of a stream go. */
export interface StreamSink {
  send(event: StreamEvent): void;
  /** An event of another request, with the next number. */
  sendCrossed(seq: number): void;
  /** A clean end of the connection. */
  end(): void;
  /** The connection is destroyed. */
  cut(): void;
}

export type StreamFaults = Pick<
  EngineFaults,
  | 'cutStreamAfterEvents'
  | 'endStreamAfterEvents'
  | 'doubleEvent'
  | 'crossAfterEvents'
>;

export interface DeliveryOptions {
  /** The last event that the reader has; 0 for none. */
  afterSeq: number;
  /** Counted on this connection. */
  faults?: StreamFaults;
  sink: StreamSink;
}

/** Sends a stream's events as they come; returns how to stop. */
export function deliverStream(
  stream: EngineStream,
  {afterSeq, faults, sink}: DeliveryOptions,
): () => void {
  let sentCount = 0;
  let isStopped = false;
  const stop = (): void => {
    isStopped = true;
    unsubscribe();
  };
  const sendNext = (event: StreamEvent): void => {
    sink.send(event);
    sentCount += 1;
    if (faults?.doubleEvent === sentCount) sink.send(event);
    if (faults?.crossAfterEvents === sentCount) sink.sendCrossed(event.seq + 1);
  };
  const endByFault = (): boolean => {
    if (faults?.cutStreamAfterEvents === sentCount) sink.cut();
    else if (faults?.endStreamAfterEvents === sentCount) sink.end();
    else return false;
    stop();
    return true;
  };
  const pump = (): void => {
    while (!isStopped && !endByFault()) {
      const event = stream.events[afterSeq + sentCount];
      if (!event) break;
      sendNext(event);
    }
    if (isStopped || !stream.isOver) return;
    sink.end();
    stop();
  };
  const unsubscribe = stream.subscribe(pump);
  pump();
  return stop;
}
