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

/** A fault injected into one append. */
export type AppendFault =
  /** Nothing is appended, and the caller receives a refusal. */
  | 'refused'
  /** The request is lost, and the outcome is unknown to the caller. */
  | 'lost-before'
  /** The records are appended, but the response is lost. */
  | 'lost-after'
  /** As the previous two, followed by an outage of the log. */
  | 'lost-before-outage'
  | 'lost-after-outage'
  /** The caller times out, and the records are appended later. */
  | 'late';

interface FakeStream {
  records: LogRecord[];
  nextOffset: number;
  waiters: Set<() => void>;
}

const LATE_MS = 700;

/** An in-memory platform log with retention, outages and lost responses. */
export class FakeLog implements LogService {
  isOut = false;
  delayMs = 0;
  /** The faults of the next appends, in order. */
  readonly faults: Array<AppendFault | undefined> = [];
  readonly calls = {append: 0, read: 0};
  /** Every record ever appended, including trimmed ones. */
  readonly allRecords: Array<LogRecord & {stream: StreamName}> = [];
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

  /** Appends records directly, without faults or delays. */
  push(stream: StreamName, ...values: unknown[]): AppendResponse {
    const target = this.streamOf(stream);
    const firstOffset = target.nextOffset;
    const appendedAtMs = this.clock.wallMs();
    for (const value of values) {
      const offset = target.nextOffset++;
      const record = {offset, appendedAtMs, value: structuredClone(value)};
      target.records.push(record);
      this.allRecords.push({...record, stream});
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
    const response = this.push(stream, ...values);
    await this.delay();
    const isLost = fault?.startsWith('lost-after');
    return isLost ? fail('append-unknown') : ok(response);
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

/** Blocks calls while it is closed. */
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

  waitUntilOpen(): Promise<void> {
    return this.opening;
  }
}

/**
 * The log as one process sees it, with pauses of the process or of its reads.
 */
export class PausableLog implements LogService {
  private readonly process = new Gate();
  private readonly reads = new Gate();

  constructor(private readonly log: LogService) {}

  /** Blocks calls and their responses until `resume`. */
  pause(): void {
    this.process.close();
  }

  /** Fails reads in flight and blocks new ones until `resume`. */
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
      await this.reads.waitUntilOpen();
      const page = await this.log.read(...args);
      if (!this.reads.isClosed) return page;
      await this.reads.waitUntilOpen();
      return fail<LogPage>('log-unavailable');
    });
  }

  private gated<T>(
    call: () => PromiseLike<Result<T, BanyanfoldError>>,
  ): ResultAsync<T, BanyanfoldError> {
    const run = async () => {
      await this.process.waitUntilOpen();
      const response = await call();
      await this.process.waitUntilOpen();
      return response;
    };
    return new ResultAsync(run());
  }
}

function fail<T>(code: string): Result<T, BanyanfoldError> {
  const place = {step: 'fake-log', peer: 'log'};
  return err(
    new BanyanfoldError(code, 'injected fault of the fake log', place),
  );
}
