import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import {FleetUsage, type SlidingWindow} from '@banyanfold/decisions';
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {FairShares} from '../callers/fairShares.js';
import {UsageMeter} from '../callers/usageMeter.js';
import {DEFAULT_OPTIONS} from '../options.js';
import {exchangeInputSchema} from '../peers/peerContract.js';
import {PendingDemand} from '../peers/pendingDemand.js';
import {DemandMeter} from '../placement/demandMeter.js';
import {EntryLoads} from '../placement/entryLoads.js';
import {FleetDemand} from '../placement/fleetDemand.js';
import {SeenBatches} from '../placement/seenBatches.js';
import {WorkForecast} from '../requests/workForecast.js';
import {workOf} from '../requests/workOf.js';
import {PromptGate, type PromptPermit} from '../runners/promptGate.js';
import {RunnerStates, type OpenRequest} from '../runners/runnerStates.js';
import type {AdmittedWork} from '../callers/admittedWork.js';

const MAX_TOKENS = 1_000_000_000;
const RUNNERS = ['i-1', 'i-2', 'constructor'];
const MODELS = ['m1', 'toString'];
const ORGANISATION = 'claims';
const POOL = 'desk/m1';
const WINDOW_MS = 8_000;
const PER_WINDOW = 24_000;
/** Longer than any average of the meters takes to forget the largest work. */
const FORGOTTEN_MS = 3_600_000;

interface Played {
  promptTokens: number;
  outputTokens: number;
  model: string;
  chargedMs: number;
  charged: number;
  admitted?: AdmittedWork;
  sent?: {open: OpenRequest; permit: PromptPermit};
  stopWaiting?: () => void;
}

/** The meters of one entry, and the requests that are open there. */
class PlayedEntry {
  readonly states: RunnerStates;
  readonly shares: FairShares;
  readonly demand = new DemandMeter();
  readonly usage = new UsageMeter();
  readonly gate: PromptGate;
  readonly forecast: WorkForecast;
  readonly pending: PendingDemand;
  open: Played[] = [];

  constructor(
    readonly name: string,
    private readonly clock: VirtualClock,
  ) {
    const nowMs = () => clock.nowMs();
    this.states = new RunnerStates(clock, new MemoryLogger(), DEFAULT_OPTIONS);
    this.shares = new FairShares({
      clock,
      random: () => 0.5,
      isEnabled: () => true,
    });
    this.gate = new PromptGate(clock);
    this.forecast = new WorkForecast(nowMs);
    this.pending = new PendingDemand(
      this.demand,
      () => this.usage.take(nowMs()),
      () => [],
      this.states.outcomes,
      `${name}@${nowMs()}`,
      () => this.shares.takeReport(),
    );
  }

  begin(promptTokens: number, outputTokens: number, model: string): void {
    const charged = promptTokens + outputTokens;
    const chargedMs = this.clock.nowMs();
    this.usage.note(ORGANISATION, charged, charged);
    const tokens = {promptTokens, maxOutputTokens: outputTokens};
    this.demand.recordArrival({model, adapter: model, urgency: 1, ...tokens});
    const {prefill, decode} = workOf({
      requests: 1,
      promptTokens,
      outputTokens,
    });
    this.forecast.note(model, prefill);
    const decision = this.shares.decide({
      pool: POOL,
      organisation: ORGANISATION,
      priority: 1,
      work: prefill + decode,
      targetMs: 800.5,
      leftMs: 4_000,
    });
    const admitted = decision?.kind === 'admit' ? decision.admitted : undefined;
    const stopWaiting = this.demand.trackWaiting(model);
    const times = {chargedMs, charged};
    this.open.push({
      promptTokens,
      outputTokens,
      model,
      admitted,
      stopWaiting,
      ...times,
    });
  }

  send(played: Played, runnerId: string): void {
    played.stopWaiting?.();
    this.endAttempt(played, false);
    const {promptTokens, outputTokens, model} = played;
    const work = workOf({requests: 1, promptTokens, outputTokens});
    const started = {work, priority: 1, model, adapter: `${model}/a1`};
    const open = this.states.recordStart(runnerId, 'desk', started);
    const rank = {priority: 1, startedMs: played.chargedMs};
    const permit = this.gate.acquire(runnerId, rank);
    played.sent = {open, permit};
  }

  read({sent, admitted}: Played): void {
    if (!sent) return;
    sent.open.markRead({aheadWork: 30, tookMs: 40});
    sent.permit.release();
    admitted?.markStarted();
  }

  endAttempt({sent}: Played, isSuccess: boolean): void {
    if (!sent) return;
    sent.open.end();
    sent.permit.release();
    for (const runnerId of RUNNERS) {
      this.states.recordOutcome(runnerId, isSuccess);
    }
  }

  end(played: Played, isRefunded: boolean): void {
    played.stopWaiting?.();
    this.endAttempt(played, !isRefunded);
    played.admitted?.end(isRefunded);
    if (isRefunded) {
      const {charged, chargedMs} = played;
      this.usage.refund(ORGANISATION, charged, chargedMs);
    }
    this.open = this.open.filter(other => other !== played);
  }
}

/** The meters of a holder of the lease. */
class PlayedHolder {
  readonly loads = new EntryLoads();
  readonly demand = new FleetDemand();
  readonly usage: FleetUsage;
  private readonly batches = new SeenBatches();

  constructor(private readonly clock: VirtualClock) {
    this.usage = new FleetUsage({
      windowMs: WINDOW_MS,
      startMs: clock.nowMs(),
      limitOf: () => ({
        ratePerSecond: 3_000,
        perWindow: PER_WINDOW,
        windowMs: WINDOW_MS,
      }),
      knownUse: new Map<string, SlidingWindow>(),
      assumedUse: () => 0,
    });
  }

  /** @param isAnswered whether the entry gets the answer. */
  exchange(entry: PlayedEntry, isAnswered: boolean): void {
    const nowMs = this.clock.nowMs();
    const message = {
      entry: entry.name,
      members: [
        {address: entry.name, failureDomain: 'hall', processorShare: 1},
      ],
      configVersion: 1,
      runnersChange: 1,
      openWork: entry.states.ownOpenWork(),
      adaptersInUse: entry.states.ownAdaptersInUse(),
      modelsInUse: entry.states.ownModelsInUse(),
      waiting: entry.demand.waitingCounts(),
      poolBacklogs: entry.shares.ownBacklogs(),
      batch: entry.pending.nextBatch(),
    };
    const input = exchangeInputSchema.parse(
      JSON.parse(JSON.stringify(message)),
    );
    this.loads.record(entry.name, input, nowMs);
    if (this.batches.addIfNew(entry.name, input.batch.batchId)) {
      this.demand.record(input.batch.demand, nowMs);
      this.usage.addReports(input.batch.usage ?? [], nowMs);
    }
    if (!isAnswered) return;
    entry.pending.acknowledge();
    entry.states.setPeersWork(
      this.loads.openWorkExcept(entry.name, nowMs),
      this.loads.openRequestsExcept(entry.name, nowMs),
    );
  }
}

function expectSound(amount: number, what: string): void {
  const isSound = Number.isFinite(amount) && amount >= 0;
  expect(isSound, `${what} is ${amount}`).toBe(true);
}

function checkEntry(entry: PlayedEntry): void {
  for (const runnerId of RUNNERS) {
    expectSound(entry.states.openWork(runnerId), 'open work');
    expectSound(entry.states.openRequests(runnerId), 'open requests');
    expectSound(entry.states.workPerSecond(runnerId), 'throughput');
    expectSound(entry.states.workAhead(runnerId, 1), 'work ahead');
    const {ownWork, meanWork} = entry.states.plainLoad(runnerId);
    expectSound(ownWork, 'own work');
    expectSound(meanWork, 'mean work');
  }
  for (const model of MODELS) {
    expectSound(entry.forecast.expectedWork(model, 730, 500), 'forecast');
  }
  for (const backlog of Object.values(entry.shares.ownBacklogs() ?? {})) {
    expectSound(backlog.work, 'backlog');
    expectSound(backlog.workMs, 'backlog times target');
  }
}

function checkHolder(holder: PlayedHolder, nowMs: number): void {
  for (const model of MODELS) {
    expectSound(holder.demand.workPerSecond(model, nowMs), 'demand');
    expectSound(holder.demand.requestsPerSecond(model, nowMs), 'requests');
  }
  const sum = holder.loads.sum(nowMs);
  for (const counts of [sum.openWork, sum.waiting]) {
    for (const count of Object.values(counts)) expectSound(count, 'load');
  }
  const usage = holder.usage.snapshot(nowMs)[ORGANISATION];
  if (!usage) return;
  expect(usage.left).toBeLessThanOrEqual(PER_WINDOW);
  expectSound(usage.freedPerSecond, 'freed use');
  expectSound(usage.askedPerSecond, 'asked use');
}

const tokens = fc.constantFrom(0, 1, 3, 450, 9_190, 268_919, MAX_TOKENS);
const index = fc.nat({max: 1_000});
const step = fc.oneof(
  fc.record({
    kind: fc.constant('begin' as const),
    entry: index,
    promptTokens: tokens,
    outputTokens: tokens,
    model: fc.constantFrom(...MODELS),
  }),
  fc.record({
    kind: fc.constantFrom('send', 'read', 'answer', 'refuse'),
    entry: index,
    request: index,
    runner: index,
  }),
  fc.record({
    kind: fc.constant('exchange' as const),
    entry: index,
    isAnswered: fc.boolean(),
  }),
  fc.record({kind: fc.constant('restart' as const), entry: index}),
  fc.record({kind: fc.constant('holder' as const)}),
  fc.record({
    kind: fc.constant('wait' as const),
    forMs: fc.constantFrom(1, 100, 250, 3_000, 9_000),
  }),
);

// Guards against requests that leave something in a sum when they are over,
// which has sound ones refused or lowers the charge of others.
it('what requests add to the meters is finite, and gone when they have ended', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, {maxLength: 120}), async steps => {
      const clock = new VirtualClock();
      const entries = ['10.1.0.1:7', '10.1.0.2:7'].map(
        name => new PlayedEntry(name, clock),
      );
      let holder = new PlayedHolder(clock);
      const at = <T>(list: readonly T[], i: number) => list[i % list.length];
      for (const played of steps) {
        if (played.kind === 'wait') await clock.advance(played.forMs);
        else if (played.kind === 'holder') holder = new PlayedHolder(clock);
        else {
          const entry = at(entries, played.entry)!;
          if (played.kind === 'restart') {
            const i = entries.indexOf(entry);
            entries[i] = new PlayedEntry(entry.name, clock);
          } else if ('promptTokens' in played) {
            const {promptTokens, outputTokens, model} = played;
            entry.begin(promptTokens, outputTokens, model);
          } else if ('isAnswered' in played) {
            holder.exchange(entry, played.isAnswered);
          } else if (entry.open.length > 0) {
            const request = at(entry.open, played.request)!;
            if (played.kind === 'send') {
              entry.send(request, at(RUNNERS, played.runner)!);
            } else if (played.kind === 'read') entry.read(request);
            else entry.end(request, played.kind === 'refuse');
          }
        }
        entries.forEach(checkEntry);
        checkHolder(holder, clock.nowMs());
      }
      for (const entry of entries) {
        for (const request of entry.open) entry.end(request, true);
        expect(entry.states.ownOpenWork()).toEqual({});
        expect(entry.states.ownModelsInUse()).toEqual({});
        expect(entry.states.ownAdaptersInUse()).toEqual({});
        expect(entry.shares.ownBacklogs()).toEqual({});
        expect(entry.demand.waitingCounts()).toEqual({});
      }
      // The second exchange has what the last one of the other entry ended.
      for (const entry of [...entries, ...entries]) {
        entry.pending.acknowledge();
        holder.exchange(entry, true);
      }
      for (const entry of entries) {
        for (const runnerId of RUNNERS) {
          expect(entry.states.openWork(runnerId)).toBe(0);
          expect(entry.states.openRequests(runnerId)).toBe(0);
        }
      }
      const sum = holder.loads.sum(clock.nowMs());
      expect(sum.openWork).toEqual({});
      expect(sum.waiting).toEqual({});
      expect(sum.poolBacklogs).toEqual({});
      checkHolder(holder, clock.nowMs());
      await clock.advance(FORGOTTEN_MS);
      for (const model of MODELS) {
        expect(holder.demand.workPerSecond(model, clock.nowMs())).toBeLessThan(
          1e-6,
        );
        for (const {forecast} of entries) {
          expect(forecast.expectedWork(model, 730, 500)).toBeLessThan(1e-6);
        }
      }
      expect(holder.usage.snapshot(clock.nowMs())).toEqual({});
    }),
    {numRuns: 300, seed: 87},
  );
});
