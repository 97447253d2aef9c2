import {sendRequest} from '@banyanfold/platform/standins';
import {CALL_KINDS} from './callers.js';
import type {EntryProcess} from './entryProcess.js';
import {pause} from './pause.js';
import type {Draw} from './random.js';

export interface OddCallerOptions {
  /** The odd amount that most requests name. */
  amount: readonly [name: string, value: string];
  entries: readonly EntryProcess[];
  draw: Draw;
}

const KIND = 'letter';
const DEADLINE_MS = 2_500;
const MIN_PAUSE_MS = 5;
const MAX_PAUSE_MS = 40;

/** Values in place of a number. */
const NUMBERS = [
  '-1',
  '-1000000',
  '-1e300',
  '0',
  '0.5',
  '1e15',
  '1e300',
  '1e400',
  'Infinity',
  '-Infinity',
  'NaN',
  '0x10',
  'many',
  '',
  ' ',
  '9'.repeat(1_000),
  '\u00bd',
];

const LONG = 'x'.repeat(3_000);
const PARTS = Array.from({length: 400}, (_, i) => `${i.toString(16)}:1`);
const TEXTS = ['', ' ', '/', '//', '__proto__', '../../x', 'm1/', LONG];

/** Values that may be sent in each header that the entries read. */
export const ODD_HEADERS: Readonly<Record<string, readonly string[]>> = {
  'token-count': [
    '-1000000,40',
    '200,1e15',
    '900,-1000000',
    ...NUMBERS.flatMap(odd => [odd, `${odd},40`, `200,${odd}`]),
    ',',
    '1,2,3',
    Array.from({length: 1_000}, () => '9').join(','),
  ],
  'prompt-prefix': [
    ...NUMBERS.map(odd => `a1:${odd},b2:20`),
    ...TEXTS,
    ':',
    ',,,',
    'a1:20:30',
    PARTS.join(','),
    Array.from({length: 400}, () => 'a1:20').join(','),
    '__proto__:20,constructor:20',
  ],
  'deadline-ms': NUMBERS,
  'last-event-id': [...NUMBERS, LONG],
  resumes: [...TEXTS, 'a, b', '-1'],
  model: [...TEXTS, 'm1/a1/a2', 'm1/__proto__', 'm9/a1', 'm9'],
  'length-hint': NUMBERS,
  'api-key': [...TEXTS, 'a, b'],
  'request-priority': NUMBERS,
  tenant: TEXTS,
  'request-id': [...TEXTS, 'a b'],
};

/** Headers with amounts, which meters add up. */
const AMOUNT_NAMES = ['token-count', 'prompt-prefix'];
const OTHER_NAMES = Object.keys(ODD_HEADERS).filter(
  name => !AMOUNT_NAMES.includes(name),
);

/** Odd values that name amounts. */
export const ODD_AMOUNTS: ReadonlyArray<[name: string, value: string]> =
  AMOUNT_NAMES.flatMap(name =>
    ODD_HEADERS[name]!.map((value): [string, string] => [name, value]),
  );

/** Sends requests with one odd header each to any entry. */
export class OddCaller {
  /** Requests that it has sent. */
  sent = 0;
  private isStopped = false;

  constructor(private readonly options: OddCallerOptions) {}

  async run(): Promise<void> {
    const {draw, entries, amount} = this.options;
    for (let i = 0; !this.isStopped; i++) {
      const name = OTHER_NAMES[i];
      // Each other header once, then one amount alone: others would offset it.
      const header =
        name === undefined
          ? amount
          : ([name, draw.pick(ODD_HEADERS[name]!)] as const);
      await this.send(draw.pick(entries), ...header);
      await pause(draw.int(MIN_PAUSE_MS, MAX_PAUSE_MS));
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private async send(
    {callersPort}: EntryProcess,
    name: string,
    value: string,
  ): Promise<void> {
    const {route, headers} = CALL_KINDS[KIND]!;
    this.sent += 1;
    await sendRequest({
      port: callersPort,
      route,
      id: `odd-${this.sent}`,
      headers: {
        ...headers,
        'deadline-ms': String(DEADLINE_MS),
        [name]: value,
      },
      body: 'x',
    });
  }
}
