import type {EventSourceMessage} from 'eventsource-parser';

const DONE = '[DONE]';

/** How the reading attempt must treat one event of an engine's stream. */
export type VerifiedEvent =
  | {kind: 'pass'; seq: number; data: string}
  | {kind: 'end'; seq: number; data: string}
  /** Must not be forwarded; the following events may still be valid. */
  | {kind: 'drop'; reason: 'doubled' | 'crossed' | 'early-end'}
  /** Events are missing, so the stream must be resumed. */
  | {kind: 'gap'}
  | {kind: 'engine-error'; message: string};

interface EngineChunk {
  id?: unknown;
  choices?: Array<{finish_reason?: unknown}>;
  error?: {message?: string};
}

/** Options of a `StreamVerifier`. */
export interface StreamVerifierOptions {
  engineRequestId: string;
  /** The id that the caller receives in place of the engine's. */
  callerRequestId: string;
  lastSeq?: number;
}

/**
 * Passes exactly the events of one attempt, once each and in order.
 *
 * Engines may send events twice, send events of another request, or skip some.
 * The caller would then read a wrong text that looks complete. An event passes
 * only if it has this attempt's id and the next sequence number. `[DONE]`
 * carries no id, so it is accepted only after a choice has finished: the marker
 * of another request would otherwise end this response too early.
 */
export class StreamVerifier {
  lastSeq: number;
  private hasFinished: boolean;

  constructor(private readonly options: StreamVerifierOptions) {
    this.lastSeq = options.lastSeq ?? 0;
    // After a restart, the previous process may have forwarded the event with
    // the finish reason, so only the engine's sequence numbers can be checked.
    this.hasFinished = this.lastSeq > 0;
  }

  /** Verifies the next event in order of arrival. */
  verify(event: EventSourceMessage): VerifiedEvent {
    const seq = event.id === undefined ? this.lastSeq + 1 : Number(event.id);
    if (!Number.isInteger(seq)) return {kind: 'gap'};
    if (event.data === DONE) return this.verifyEnd(seq);
    const chunk = parseChunk(event.data);
    if (!chunk) return {kind: 'gap'};
    if (chunk.error && chunk.id === undefined) {
      const message = chunk.error.message ?? 'the engine failed';
      return {kind: 'engine-error', message};
    }
    const callerId = this.callerId(chunk.id);
    if (callerId === undefined) return {kind: 'drop', reason: 'crossed'};
    if (seq <= this.lastSeq) return {kind: 'drop', reason: 'doubled'};
    if (seq > this.lastSeq + 1) return {kind: 'gap'};
    this.lastSeq = seq;
    if (chunk.choices?.some(choice => choice.finish_reason != null)) {
      this.hasFinished = true;
    }
    const data = JSON.stringify({...chunk, id: callerId});
    return {kind: 'pass', seq, data};
  }

  private verifyEnd(seq: number): VerifiedEvent {
    if (seq <= this.lastSeq) return {kind: 'drop', reason: 'doubled'};
    if (seq > this.lastSeq + 1) return {kind: 'gap'};
    if (!this.hasFinished) return {kind: 'drop', reason: 'early-end'};
    this.lastSeq = seq;
    return {kind: 'end', seq, data: DONE};
  }

  private callerId(id: unknown): string | undefined {
    return toCallerId(id, this.options);
  }
}

/**
 * Returns the id that the caller receives; undefined for another attempt's id.
 *
 * @example
 * toCallerId('chatcmpl-r1.a1',
 *   {engineRequestId: 'r1.a1', callerRequestId: 'r1'}) // 'chatcmpl-r1'
 */
export function toCallerId(
  id: unknown,
  ids: {engineRequestId: string; callerRequestId: string},
): string | undefined {
  for (const prefix of ['chatcmpl-', 'cmpl-']) {
    if (id === `${prefix}${ids.engineRequestId}`) {
      return `${prefix}${ids.callerRequestId}`;
    }
  }
  return undefined;
}

function parseChunk(data: string): EngineChunk | undefined {
  try {
    const parsed: unknown = JSON.parse(data);
    const isObject = typeof parsed === 'object' && parsed !== null;
    return isObject ? (parsed as EngineChunk) : undefined;
  } catch {
    return undefined;
  }
}
