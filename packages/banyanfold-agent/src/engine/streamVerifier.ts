import type {EventSourceMessage} from 'eventsource-parser';

const DONE = '[DONE]';

/** What one event of an engine's stream is to the attempt that reads it. */
export type VerifiedEvent =
  | {kind: 'pass'; seq: number; data: string}
  | {kind: 'end'; seq: number; data: string}
  /** Not to be passed on; what follows may still be good. */
  | {kind: 'drop'; reason: 'doubled' | 'crossed' | 'early-end'}
  /** What was missed must be asked for again. */
  | {kind: 'gap'}
  | {kind: 'engine-error'; message: string};

interface EngineChunk {
  id?: unknown;
  choices?: Array<{finish_reason?: unknown}>;
  error?: {message?: string};
}

/** How a verifier is built. */
export interface StreamVerifierOptions {
  engineRequestId: string;
  /** The id that the caller sees in place of the engine's. */
  callerRequestId: string;
  lastSeq?: number;
}

/**
 * Lets through exactly the events of one attempt, once each and in order.
 *
 * Engines send events twice, send those of another request, or leave some out,
 * and the caller would read a wrong text that looks whole. An event is passed
 * only if its id is this attempt's and its number is the next one. `[DONE]`
 * bears no id, so it counts only after a choice has finished: another
 * request's would end this answer in its middle.
 */
export class StreamVerifier {
  lastSeq: number;
  private finishSeen: boolean;

  constructor(private readonly options: StreamVerifierOptions) {
    this.lastSeq = options.lastSeq ?? 0;
    // After a restart the event with the finish may have been passed on by the
    // predecessor; the engine's numbers alone must do then.
    this.finishSeen = this.lastSeq > 0;
  }

  /** Judges the next event as it came. */
  verify(event: EventSourceMessage): VerifiedEvent {
    const seq = event.id === undefined ? this.lastSeq + 1 : Number(event.id);
    if (!Number.isInteger(seq)) return {kind: 'gap'};
    if (event.data === DONE) return this.takeEnd(seq);
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
      this.finishSeen = true;
    }
    const data = JSON.stringify({...chunk, id: callerId});
    return {kind: 'pass', seq, data};
  }

  private takeEnd(seq: number): VerifiedEvent {
    if (seq <= this.lastSeq) return {kind: 'drop', reason: 'doubled'};
    if (seq > this.lastSeq + 1) return {kind: 'gap'};
    if (!this.finishSeen) return {kind: 'drop', reason: 'early-end'};
    this.lastSeq = seq;
    return {kind: 'end', seq, data: DONE};
  }

  private callerId(id: unknown): string | undefined {
    return toCallerId(id, this.options);
  }
}

/**
 * The id that the caller sees, or undefined for an id of another attempt.
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
