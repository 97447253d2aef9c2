import {BanyanfoldError, sleep, type VirtualClock} from '@banyanfold/core';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import type {
  AppendResponse,
  LogPage,
  LogRecord,
  LogService,
  ReadOptions,
  StreamName,
} from '../types.js';

/** What goes wrong with one append. */
export type AppendFault =
  /** Refused: nothing was appended, and the caller is told so. */
  | 'refused'
  /** The request was lost, and the caller can't tell. */
  | 'lost-before'
  /** It was appended, but the answer was lost. */
  | 'lost-after'
  /** The same two, and from then on the log is out. */
  | 'lost-before-outage'
  | 'lost-after-outage'
  /** The caller gives up; the request arrives at the log later. */
  | 'late';

interface FakeStream {
  records: LogRecord[];
  nextOffset: number;
  waiters: Set<() => void>;
}

const LATE_MS = 700;

/** The platform's log in memory, with retention, outages and lost answers. */
export class FakeLog implements LogService {
  isOut = false;
  delayMs = 0;
  /** Faults of the coming appends, in order. */
  readonly faults: Array<AppendFault | undefined> = [];
  readonly calls = {append: 0, read: 0};
  /** Every record ever appended, also those that were trimmed. */
  readonly everything: Array<LogRecord & {stream: StreamName}> = [];
  private readonly streams = new Map<StreamName, FakeStream>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly retentionMs = Infinity,
  ) {}

  append(stream: StreamName, values: unknown[]) {
    this.calls.append++;
    const fault = this.faults.shift();
    return new ResultAsync(this.appendWith(fault, stream, values));
  }

  read(stream: StreamName, options: ReadOptions) {
    this.calls.read++;
    return new ResultAsync(this.readPage(stream, options));
  }

  /** Puts records in without a call. */
  push(stream: StreamName, ...values: unknown[]): AppendResponse {
    const target = this.streamOf(stream);
    const firstOffset = target.nextOffset;
    const appendedAtMs = this.clock.wallMs();
    for (const value of values) {
      const offset = target.nextOffset++;
      const record = {offset, appendedAtMs, value: structuredClone(value)};
      target.records.push(record);
      this.everything.push({...record, stream});
    }
    for (const wake of target.waiters) wake();
    return {firstOffset, lastOffset: target.nextOffset - 1, appendedAtMs};
  }

  private async appendWith(
    fault: AppendFault | undefined,
    stream: StreamName,
    values: unknown[],
  ): Promise<Result<AppendResponse, BanyanfoldError>> {
    await this.delay();
    if (this.isOut || fault === 'refused') return fail('log-unavailable');
    if (fault?.endsWith('-outage')) this.isOut = true;
    if (fault?.startsWith('lost-before')) return fail('append-unknown');
    if (fault === 'late') {
      this.clock.setTimer(LATE_MS, () => this.push(stream, ...values));
      return fail('append-unknown');
    }
    const answer = this.push(stream, ...values);
    await this.delay();
    const isLost = fault?.startsWith('lost-after');
    return isLost ? fail('append-unknown') : ok(answer);
  }

  private async readPage(
    stream: StreamName,
    {fromOffset, limit = Infinity, waitMs = 0}: ReadOptions,
  ): Promise<Result<LogPage, BanyanfoldError>> {
    await this.delay();
    if (this.isOut) return fail('log-unavailable');
    const target = this.streamOf(stream);
    if (target.nextOffset <= fromOffset && waitMs > 0) {
      await this.waitForRecord(target, waitMs);
    }
    if (this.isOut) return fail('log-unavailable');
    this.trim(target);
    const records = target.records.filter(({offset}) => offset >= fromOffset);
    const {nextOffset} = target;
    const page = {
      firstOffset: target.records[0]?.offset ?? nextOffset,
      nextOffset,
      nowMs: this.clock.wallMs(),
      records: records.slice(0, limit),
    };
    await this.delay();
    return ok(page);
  }

  private waitForRecord(target: FakeStream, waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        target.waiters.delete(wake);
        timer.cancel();
        resolve();
      };
      const timer = this.clock.setTimer(waitMs, wake);
      target.waiters.add(wake);
    });
  }

  private trim(target: FakeStream): void {
    const keptFromMs = this.clock.wallMs() - this.retentionMs;
    const isKept = ({appendedAtMs}: LogRecord) => appendedAtMs >= keptFromMs;
    target.records = target.records.filter(isKept);
  }

  private streamOf(name: StreamName): FakeStream {
    const known = this.streams.get(name);
    if (known) return known;
    const stream = {records: [], nextOffset: 1, waiters: new Set<() => void>()};
    this.streams.set(name, stream);
    return stream;
  }

  private async delay(): Promise<void> {
    if (this.delayMs > 0) await sleep(this.clock, this.delayMs);
  }
}

/** A gate that calls wait at while it is closed. */
class Gate {
  private opening: Promise<void> = Promise.resolve();
  open: () => void = () => {};
  isClosed = false;

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.opening = new Promise(resolve => {
      this.open = () => {
        this.isClosed = false;
        resolve();
      };
    });
  }

  pass(): Promise<void> {
    return this.opening;
  }
}

/** A process's access to the log. */
export class PausableLog implements LogService {
  private readonly process = new Gate();
  private readonly reads = new Gate();

  constructor(private readonly log: LogService) {}

  /** Neither calls nor the answers to them come through until `resume`. */
  pause(): void {
    this.process.close();
  }

  /** Breaks reads in flight and holds new ones until `resume`. */
  holdReads(): void {
    this.reads.close();
  }

  resume(): void {
    this.process.open();
    this.reads.open();
  }

  append(stream: StreamName, values: unknown[]) {
    return this.gated(() => this.log.append(stream, values));
  }

  read(...args: Parameters<LogService['read']>) {
    return this.gated(async () => {
      await this.reads.pass();
      const page = await this.log.read(...args);
      if (!this.reads.isClosed) return page;
      await this.reads.pass();
      return fail<LogPage>('log-unavailable');
    });
  }

  private gated<T>(
    call: () => PromiseLike<Result<T, BanyanfoldError>>,
  ): ResultAsync<T, BanyanfoldError> {
    const run = async () => {
      await this.process.pass();
      const answer = await call();
      await this.process.pass();
      return answer;
    };
    return new ResultAsync(run());
  }
}

function fail<T>(code: string): Result<T, BanyanfoldError> {
  const place = {step: 'fake-log', peer: 'log'};
  return err(new BanyanfoldError(code, 'a fault of the fake log', place));
}
