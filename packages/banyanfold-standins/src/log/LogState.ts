import type {Clock} from '@banyanfold/core';
import {ok} from 'neverthrow';
import {FaultSwitches} from '../common/faultSwitches.js';
import {outageRefusal} from '../common/outage.js';
import {pauseFor} from '../common/pauseFor.js';
import {RateLimit} from '../common/rateLimit.js';
import {lostAnswer, refuse, type Answer} from '../common/refusal.js';
import {resolveContext, type StateContext} from '../common/standinOptions.js';
import {TruthRecord} from '../common/truth.js';
import {LogStream, type StoredRecord} from './LogStream.js';
import {
  logFaultsSchema,
  logOptionsSchema,
  type LogFaults,
  type LogOptions,
} from './options.js';

export interface AppendAnswer {
  firstOffset: number;
  lastOffset: number;
  appendedAtMs: number;
}

export interface LogPage {
  firstOffset: number;
  nextOffset: number;
  nowMs: number;
  records: StoredRecord[];
}

export interface ReadRequest {
  fromOffset: number;
  limit?: number;
  waitMs?: number;
}

/** The platform's log service in memory. */
export class LogState {
  readonly faults: FaultSwitches<typeof logFaultsSchema>;
  readonly truth: TruthRecord;
  private readonly options: LogOptions;
  private readonly clock: Clock;
  private readonly rateLimit: RateLimit;
  private readonly streams = new Map<string, LogStream>();

  constructor(
    options: Partial<LogOptions> & {faults?: Partial<LogFaults>} = {},
    context: StateContext = {},
  ) {
    this.options = logOptionsSchema.parse(options);
    const {clock, random} = resolveContext(context);
    this.faults = new FaultSwitches(logFaultsSchema, options.faults, random);
    this.clock = clock;
    this.truth = new TruthRecord(clock, context.onTruth);
    this.rateLimit = new RateLimit(clock, this.options.appendsPerSecond);
    this.faults.onChange(() => this.wakeAll());
  }

  /** @example await log.append('claims', [{key: 'a'}]) */
  async append(name: string, values: unknown[]): Promise<Answer<AppendAnswer>> {
    await pauseFor(this.clock, this.faults.get().requestDelayMs);
    const refusal = outageRefusal(this.faults.get().outage);
    if (refusal) return refusal;
    if (values.length === 0) return refuse(400, 'no-records');
    const retryAfterMs = this.rateLimit.take();
    if (retryAfterMs > 0) return refuse(429, 'too-many', {retryAfterMs});
    const answer = this.store(name, values);
    await pauseFor(this.clock, this.faults.get().answerDelayMs);
    if (this.losesAnswer()) return this.loseAnswer(name, answer);
    return ok(answer);
  }

  /** Reads a page; with `waitMs` it waits for a record when there is none. */
  async read(name: string, request: ReadRequest): Promise<Answer<LogPage>> {
    await pauseFor(this.clock, this.faults.get().requestDelayMs);
    const waitMs = Math.min(request.waitMs ?? 0, this.options.maxWaitMs);
    const refusal = outageRefusal(this.faults.get().outage);
    if (refusal) return refusal;
    const stream = this.stream(name);
    if (waitMs > 0 && request.fromOffset >= stream.nextOffset) {
      await this.waitForChange(stream, waitMs);
    }
    const laterRefusal = outageRefusal(this.faults.get().outage);
    if (laterRefusal) return laterRefusal;
    const page = this.page(stream, request);
    await pauseFor(this.clock, this.faults.get().answerDelayMs);
    return ok(page);
  }

  private store(name: string, values: unknown[]): AppendAnswer {
    const stream = this.stream(name);
    const appendedAtMs = this.clock.wallMs();
    const firstOffset = stream.nextOffset;
    stream.append(values, appendedAtMs);
    const lastOffset = stream.nextOffset - 1;
    this.truth.add('appended', {stream: name, firstOffset, lastOffset});
    return {firstOffset, lastOffset, appendedAtMs};
  }

  private page(stream: LogStream, request: ReadRequest): LogPage {
    const nowMs = this.clock.wallMs();
    stream.dropOlderThan(nowMs - this.options.retentionMs);
    const {maxPageRecords} = this.options;
    const limit = Math.min(request.limit ?? maxPageRecords, maxPageRecords);
    return {
      firstOffset: stream.firstOffset,
      nextOffset: stream.nextOffset,
      nowMs,
      records: stream.read(request.fromOffset, limit),
    };
  }

  private losesAnswer(): boolean {
    if (this.faults.takeNext('loseNextAppendAnswers')) return true;
    return this.faults.happens('appendAnswerLossProbability');
  }

  private loseAnswer(
    stream: string,
    {firstOffset}: AppendAnswer,
  ): Promise<Answer<AppendAnswer>> {
    this.truth.add('append-answer-lost', {stream, firstOffset});
    return lostAnswer(this.faults.get().lostAnswersHang);
  }

  private waitForChange(stream: LogStream, waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = this.clock.setTimer(waitMs, () => {
        removeWaiter();
        resolve();
      });
      const removeWaiter = stream.addWaiter(() => {
        timer.cancel();
        resolve();
      });
    });
  }

  private stream(name: string): LogStream {
    let stream = this.streams.get(name);
    if (!stream) {
      stream = new LogStream();
      this.streams.set(name, stream);
    }
    return stream;
  }

  private wakeAll(): void {
    for (const stream of this.streams.values()) stream.wake();
  }
}
