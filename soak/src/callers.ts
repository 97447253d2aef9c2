import http from 'node:http';
import {sendRequest, type CallerResponse} from '@banyanfold/platform/standins';
import type {EntryProcess} from './entryProcess.js';
import {pause} from './pause.js';
import type {Draw} from './random.js';

/** What callers ask for, by name. */
export interface CallKind {
  route: string;
  headers: Record<string, string>;
  isStream: boolean;
  /** It may run more than once. */
  isRepeatable: boolean;
}

const PROMPT = {'token-count': '40,12', 'prompt-prefix': 'a1:20,b2:20'};

export const CALL_KINDS: Record<string, CallKind> = {
  lodge: {route: 'lodge', headers: {}, isStream: false, isRepeatable: false},
  status: {route: 'status', headers: {}, isStream: false, isRepeatable: true},
  letter: {
    route: 'letter',
    headers: {...PROMPT, model: 'm1'},
    isStream: true,
    isRepeatable: true,
  },
  adapter: {
    route: 'letter',
    headers: {...PROMPT, model: 'm1/a2'},
    isStream: true,
    isRepeatable: true,
  },
  'rare-model': {
    route: 'letter',
    headers: {...PROMPT, model: 'm2/a1'},
    isStream: true,
    isRepeatable: true,
  },
  'lodge-letter': {
    route: 'lodge-letter',
    headers: {...PROMPT, model: 'm1'},
    isStream: true,
    isRepeatable: false,
  },
};

/** One request as its caller saw it. */
export interface Call {
  id: string;
  kind: string;
  entry: string;
  /** Which process of that entry had it, if it did not change meanwhile. */
  entryStart: number;
  startedMs: number;
  endedMs: number;
  seen: CallerResponse;
}

const KIND_NAMES = Object.keys(CALL_KINDS);
const DEADLINE_MS = 2_500;
const MIN_PAUSE_MS = 5;
const MAX_PAUSE_MS = 60;

/** Where the balancer sends new connections; undefined: to all entries. */
export interface Herd {
  entry?: EntryProcess;
}

export interface CallerOptions {
  name: string;
  entries: readonly EntryProcess[];
  /** While it has an entry, each request comes on a new connection to that. */
  herd?: Herd;
  draw: Draw;
}

/**
 * Asks one request after the other, on the connection that it has as long as
 * that is open, whatever the entry says of its readiness. After a failed
 * connection it goes to another entry, as the balancer would send it.
 */
export class Caller {
  readonly calls: Call[] = [];
  /** Requests that have no answer yet, with when they were sent. */
  readonly open = new Map<string, number>();
  private readonly agent = new http.Agent({keepAlive: true, maxSockets: 1});
  private entry: EntryProcess;
  private isStopped = false;
  private asked = 0;

  constructor(private readonly options: CallerOptions) {
    this.entry = options.draw.pick(options.entries);
  }

  async run(): Promise<void> {
    const {draw} = this.options;
    while (!this.isStopped) {
      await this.call(draw.pick(KIND_NAMES));
      await pause(draw.int(MIN_PAUSE_MS, MAX_PAUSE_MS));
    }
    this.agent.destroy();
  }

  stop(): void {
    this.isStopped = true;
  }

  private async call(kind: string): Promise<void> {
    const {name, entries, draw, herd} = this.options;
    const herdEntry = herd?.entry;
    const entry = herdEntry ?? this.entry;
    const {route, headers} = CALL_KINDS[kind]!;
    const id = `${name}-${++this.asked}`;
    const startedMs = performance.now();
    const entryStart = entry.starts;
    this.open.set(id, startedMs);
    const seen = await sendRequest({
      port: entry.callersPort,
      route,
      id,
      headers: {...headers, 'deadline-ms': String(DEADLINE_MS)},
      body: 'x',
      agent: herdEntry ? undefined : this.agent,
    });
    this.open.delete(id);
    const endedMs = performance.now();
    this.calls.push({
      id,
      kind,
      entry: entry.name,
      entryStart,
      startedMs,
      endedMs,
      seen,
    });
    const hasFailed = seen.status === 0 || seen.isTruncated;
    if (hasFailed && !herdEntry) this.entry = draw.pick(entries);
  }
}
