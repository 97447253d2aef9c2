import {sendRequest} from '@banyanfold/platform/standins';
import {CALL_KINDS, type Call} from './callers.js';
import type {EntryProcess} from './entryProcess.js';
import {pause} from './pause.js';
import type {Draw} from './random.js';

/** A runner that runs a request with this content crashes. */
export const CRASHING_BODY = 'crash';
/** A runner that runs a request with this part in its prompt crashes. */
export const CRASHING_PART = 'c0ffee';

const KIND = 'letter';
const DEADLINE_MS = 2_500;
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 600;
const MANY_BODIES = 1_000_000;

export interface CrashingCallerOptions {
  entries: readonly EntryProcess[];
  draw: Draw;
  /** Whether its requests share a prompt part and are never twice alike. */
  isByPart?: boolean;
}

/** Sends requests that crash their runners again and again, anywhere. */
export class CrashingCaller {
  readonly calls: Call[] = [];
  private isStopped = false;

  constructor(private readonly options: CrashingCallerOptions) {}

  async run(): Promise<void> {
    const {draw, entries} = this.options;
    while (!this.isStopped) {
      await this.call(draw.pick(entries));
      await pause(draw.int(MIN_PAUSE_MS, MAX_PAUSE_MS));
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private async call(entry: EntryProcess): Promise<void> {
    const {isByPart = false, draw} = this.options;
    const {route, headers} = CALL_KINDS[KIND]!;
    const id = `crash-${this.calls.length + 1}`;
    const startedMs = performance.now();
    const entryStart = entry.starts;
    const seen = await sendRequest({
      port: entry.callersPort,
      route,
      id,
      headers: {
        ...headers,
        'deadline-ms': String(DEADLINE_MS),
        ...(isByPart && {
          'prompt-prefix': `a1:20,${CRASHING_PART}:9,${id}:20`,
        }),
      },
      body: isByPart ? `body ${draw.int(0, MANY_BODIES)}` : CRASHING_BODY,
    });
    const endedMs = performance.now();
    const {name} = entry;
    this.calls.push({
      id,
      kind: KIND,
      entry: name,
      entryStart,
      startedMs,
      endedMs,
      seen,
    });
  }
}
