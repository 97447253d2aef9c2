import {FleetUsage, type UsageReport} from '../usage/fleetUsage.js';
import {
  OrganisationUsage,
  type FleetUsageSnapshot,
} from '../usage/organisationUsage.js';
import type {UsageLimit} from '../usage/usageLimit.js';
import {SlidingWindow} from '../usage/slidingWindow.js';
import {UseHistory} from '../usage/useHistory.js';

const ORGANISATION = 'claims';
const STEP_MS = 10;
/** Interval between two reports of an entry. */
export const EXCHANGE_MS = 250;
/** Longest time for which a request waits for an update. */
const MAX_WAIT_MS = 300;
const WINDOW_MS = 8_000;

export interface FleetOptions {
  entries: number;
  limit: UsageLimit;
  /** Mean tokens of a request; the largest have four times as many. */
  meanTokens: number;
  /** Tokens of a request, with `meanTokens` in the mean, if they differ. */
  tokensOf?: (random: () => number) => number;
  askedPerSecond: number;
  /** Multiplies the demand by `factor`, reached within `rampMs`. */
  burst?: {fromMs: number; factor: number; toMs?: number; rampMs?: number};
  /**
   * Share of the requests admitted up to `toMs` that no runner runs, and the
   * time after which their charge is refunded.
   */
  refunds?: {share: number; afterMs: number; toMs: number};
  /** Reports and snapshots arrive one exchange later, as via a relay. */
  isRelayed?: boolean;
  /**
   * Number of entries after the first one, which is the holder, that sum up the
   * reports of their groups and pass on the last snapshot that they received.
   */
  relays?: number;
  durationMs: number;
  random: () => number;
  /** Whether an entry is disconnected from the holder. */
  isDisconnected?: (entry: number, nowMs: number) => boolean;
  /** Whether an entry restarts at this step. */
  restarts?: (entry: number, nowMs: number) => boolean;
  /**
   * The span in which no holder answers; afterwards the first entry is the
   * holder.
   */
  takeover?: {fromMs: number; toMs: number};
  /** Share of the requests that go to the first entry. */
  skew?: number;
}

export interface FleetOutcome {
  asked: number;
  admitted: number;
  /** Share refused while all entries together had some of the limit left. */
  falselyRefused: number;
  /** Largest use within a window beyond the cap, as a share of the cap. */
  overshoot: number;
}

interface Snapshot {
  atMs: number;
  snapshot: FleetUsageSnapshot | undefined;
}

interface Entry {
  usage: OrganisationUsage;
  history: UseHistory;
  asked: number;
  used: number;
  /** Refunds since the last report. */
  refunds: Array<{amount: number; chargedMs: number}>;
  updatedMs: number;
  /** Reports of the group of this relay since its last exchange. */
  group: UsageReport;
  /** The last snapshot that this relay received. */
  received: Snapshot | undefined;
}

interface Request {
  entry: Entry;
  tokens: number;
  waits: number;
  dueMs: number;
}

interface Refund {
  entry: Entry;
  tokens: number;
  chargedMs: number;
}

/** Simulates one organisation's load at entries that report to one holder. */
export function simulateFleet(options: FleetOptions): FleetOutcome {
  const {entries: count, limit, durationMs, random, skew = 0} = options;
  const {isDisconnected = () => false, restarts = () => false} = options;
  const {burst, takeover, refunds} = options;
  const {tokensOf = exponential(options.meanTokens)} = options;
  const entries = Array.from({length: count}, () => startEntry(true));
  let fleet = startHolder(limit, 0);
  let exchange = exchangeOf(options, entries, fleet);
  const used = new SlidingWindow(WINDOW_MS);
  const admitted: Array<{atMs: number; tokens: number}> = [];
  let waiting: Request[] = [];
  const refundsDue: Refund[] = [];
  let falselyRefused = 0;
  let asked = 0;
  const decide = (request: Request, nowMs: number) => {
    const {entry, tokens, waits} = request;
    const knownUse = entry.history.window;
    const view = {limit, nowMs, random, knownUse, waits};
    const {kind} = entry.usage.decide(tokens, view);
    if (kind === 'admit') {
      entry.used += tokens;
      if (refunds && nowMs < refunds.toMs && random() < refunds.share) {
        refundsDue.push({entry, tokens, chargedMs: nowMs});
        return;
      }
      used.add(tokens, nowMs);
      admitted.push({atMs: nowMs, tokens});
    } else if (kind === 'wait') {
      const dueMs = nowMs + MAX_WAIT_MS;
      waiting.push({...request, waits: waits + 1, dueMs});
    } else if (used.sum(nowMs) < limit.perWindow) {
      falselyRefused += tokens;
    }
  };
  const requestsPerStep =
    (options.askedPerSecond * STEP_MS) / 1_000 / options.meanTokens;
  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    if (nowMs === takeover?.toMs) {
      fleet = startHolder(limit, nowMs, entries[0]!.history.window);
      exchange = exchangeOf(options, entries, fleet);
    }
    const isSilent =
      takeover && nowMs >= takeover.fromMs && nowMs < takeover.toMs;
    for (let i = 0; i < count; i++) {
      if (restarts(i, nowMs)) entries[i] = startEntry(false);
      if (isSilent || isDisconnected(i, nowMs)) continue;
      if ((nowMs + i * STEP_MS) % EXCHANGE_MS === 0) exchange(i, nowMs);
    }
    while (refunds && refundsDue[0]) {
      if (refundsDue[0].chargedMs + refunds.afterMs > nowMs) break;
      refund(refundsDue.shift()!);
    }
    const isDue = ({entry, dueMs}: Request) =>
      entry.updatedMs === nowMs || dueMs <= nowMs;
    const due = waiting.filter(isDue);
    waiting = waiting.filter(request => !isDue(request));
    for (const request of due) decide(request, nowMs);
    let dueRequests = requestsPerStep * (burst ? factorOf(burst, nowMs) : 1);
    while (dueRequests > 0 && random() < dueRequests) {
      dueRequests -= 1;
      const index = random() < skew ? 0 : Math.floor(random() ** 1.5 * count);
      const tokens = Math.round(tokensOf(random));
      const entry = entries[index]!;
      asked += tokens;
      entry.asked += tokens;
      decide({entry, tokens, waits: 0, dueMs: nowMs}, nowMs);
    }
  }
  const total = admitted.reduce((sum, {tokens}) => sum + tokens, 0);
  return {
    asked,
    admitted: total,
    falselyRefused: falselyRefused / Math.max(asked, 1),
    overshoot: overshootOf(admitted, limit),
  };
}

function startEntry(isFleetUnused: boolean): Entry {
  return {
    usage: new OrganisationUsage(isFleetUnused),
    history: new UseHistory(WINDOW_MS, isFleetUnused),
    asked: 0,
    used: 0,
    refunds: [],
    updatedMs: 0,
    group: {organisation: ORGANISATION, asked: 0, used: 0},
    received: undefined,
  };
}

function startHolder(
  limit: UsageLimit,
  startMs: number,
  knownUse?: SlidingWindow,
): FleetUsage {
  return new FleetUsage({
    windowMs: WINDOW_MS,
    startMs,
    limitOf: () => limit,
    knownUse: new Map(knownUse && [[ORGANISATION, knownUse]]),
    assumedUse: () => 0,
  });
}

/** Returns the function by which an entry exchanges state with the holder. */
function exchangeOf(
  {isRelayed = false, relays = 0, limit}: FleetOptions,
  entries: readonly Entry[],
  fleet: FleetUsage,
): (index: number, nowMs: number) => void {
  const delayMs = isRelayed ? EXCHANGE_MS : 0;
  const reports: Array<{atMs: number; report: UsageReport}> = [];
  const snapshots: Snapshot[] = [];
  const receive = (report: UsageReport, nowMs: number): Snapshot => {
    reports.push({atMs: nowMs + delayMs, report});
    while (reports[0] && reports[0].atMs <= nowMs) {
      fleet.addReports([reports.shift()!.report], nowMs);
    }
    const snapshot = fleet.snapshot(nowMs)[ORGANISATION];
    snapshots.push({atMs: nowMs, snapshot});
    while (snapshots[1] && snapshots[1].atMs <= nowMs - delayMs) {
      snapshots.shift();
    }
    return snapshots[0]!;
  };
  return (index, nowMs) => {
    const entry = entries[index]!;
    const isMember = relays > 0 && index > relays;
    const relay = isMember ? entries[1 + (index % relays)] : undefined;
    const unaccounted = relay !== undefined || isRelayed ? entry.used : 0;
    const report = takeReport(entry, nowMs);
    if (relay) addReport(relay.group, report);
    else entry.received = receive(report, nowMs);
    const {snapshot, atMs} = (relay ?? entry).received ?? {atMs: nowMs};
    if (!snapshot) return;
    const isForwarded = isRelayed || relay !== undefined;
    entry.usage.update(snapshot, atMs, unaccounted, isForwarded);
    entry.history.record(limit.perWindow - snapshot.left, atMs);
    entry.updatedMs = nowMs;
  };
}

function refund({entry, tokens, chargedMs}: Refund): void {
  entry.usage.refund(tokens, chargedMs);
  entry.used -= tokens;
  entry.refunds.push({amount: tokens, chargedMs});
}

function takeReport(entry: Entry, nowMs: number): UsageReport {
  const {group, asked, used} = entry;
  const refunds = entry.refunds
    .splice(0)
    .map(({amount, chargedMs}) => ({amount, agoMs: nowMs - chargedMs}));
  const report = {...group, asked, used, refunds};
  addReport(report, group);
  entry.asked = entry.used = group.asked = group.used = 0;
  entry.usage.markReported(nowMs);
  return report;
}

function addReport(sum: UsageReport, {asked, used}: UsageReport): void {
  sum.asked += asked;
  sum.used += used;
}

function exponential(meanTokens: number): (random: () => number) => number {
  return random => Math.min(4, -Math.log(1 - random())) * meanTokens;
}

function factorOf(burst: FleetOptions['burst'] & {}, nowMs: number): number {
  const {fromMs, toMs = Infinity, factor, rampMs = STEP_MS} = burst;
  const risen = (nowMs - fromMs + STEP_MS) / rampMs;
  const fallen = (toMs + rampMs - nowMs) / rampMs;
  return 1 + (factor - 1) * Math.max(0, Math.min(1, risen, fallen));
}

function overshootOf(
  admitted: ReadonlyArray<{atMs: number; tokens: number}>,
  {perWindow: cap}: UsageLimit,
): number {
  let largestSum = 0;
  let sum = 0;
  let first = 0;
  for (const {atMs, tokens} of admitted) {
    sum += tokens;
    while (admitted[first]!.atMs <= atMs - WINDOW_MS) {
      sum -= admitted[first]!.tokens;
      first += 1;
    }
    largestSum = Math.max(largestSum, sum);
  }
  return largestSum / cap - 1;
}
