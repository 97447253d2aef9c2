import {
  readStream,
  resumeHeaders,
  type StreamResult,
} from '@banyanfold/platform/standins';
import type {EntryProcess} from './entryProcess.js';
import {pause} from './pause.js';
import type {Draw} from './random.js';

/** A stream, and the requests by which its caller took it up again. */
export interface ResumedStream {
  id: string;
  entries: string[];
  parts: StreamResult[];
}

export interface ResumingCallerOptions {
  name: string;
  entries: readonly EntryProcess[];
  draw: Draw;
  /** One in so many streams is left midway; none if undefined. */
  leavesOneIn?: number;
}

const DEADLINE_MS = 2_500;
/** Callers leave a stream that stands still. */
const PATIENCE_MS = 800;
const MAX_TAKE_UPS = 3;
const MAX_EVENTS_AT_ONCE = 3;
const MIN_PAUSE_MS = 5;
const MAX_PAUSE_MS = 60;

/**
 * Reads streams, leaves some of them midway, and takes up at any entry those that
 * it has not read to their end.
 */
export class ResumingCaller {
  readonly streams: ResumedStream[] = [];
  private isStopped = false;

  constructor(private readonly options: ResumingCallerOptions) {}

  async run(): Promise<void> {
    const {draw} = this.options;
    while (!this.isStopped) {
      await this.readOne();
      await pause(draw.int(MIN_PAUSE_MS, MAX_PAUSE_MS));
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Reads one stream, and takes it up until it has ended or is refused. */
  async readOne(): Promise<void> {
    const {name, draw, leavesOneIn} = this.options;
    const id = `${name}-${this.streams.length + 1}`;
    const stream: ResumedStream = {id, entries: [], parts: []};
    this.streams.push(stream);
    const isLeft = leavesOneIn !== undefined && draw.int(1, leavesOneIn) === 1;
    const closeAfter = isLeft ? draw.int(1, MAX_EVENTS_AT_ONCE) : undefined;
    await this.read(stream, id, {}, closeAfter);
    for (let i = 1; i <= MAX_TAKE_UPS; i++) {
      const last = stream.parts.at(-1)!;
      if (last.isComplete || lastEventId(stream) === undefined) return;
      const headers = resumeHeaders(id, {
        ...last,
        lastEventId: lastEventId(stream),
      });
      await this.read(stream, `${id}.${i}`, headers);
    }
  }

  private async read(
    stream: ResumedStream,
    id: string,
    headers: Record<string, string>,
    closeAfter?: number,
  ): Promise<void> {
    const {entries, draw} = this.options;
    const entry = draw.pick(entries);
    stream.entries.push(entry.name);
    const part = await readStream({
      port: entry.callersPort,
      id,
      headers: {
        ...headers,
        'deadline-ms': String(DEADLINE_MS),
        // Another prompt each time: prefix affinity would lead a stream back to
        // the runner that began it, whether or not versions are told apart.
        'prompt-prefix': `${id}-shared:5,${id}-own:5`,
      },
      closeAfter,
      idleTimeoutMs: PATIENCE_MS,
    });
    stream.parts.push(part);
  }
}

/** The last event that the caller has; undefined if it has none. */
function lastEventId({parts}: ResumedStream): string | undefined {
  return parts.findLast(part => part.lastEventId !== undefined)?.lastEventId;
}
