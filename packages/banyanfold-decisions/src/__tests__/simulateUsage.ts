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

export interface FleetOptions {
  entries: number;
  limit: UsageLimit;
  /** Mean tokens of a request; the largest have four times as many. */
  meanTokens: number;
  askedPerSecond: number;
  /** Multiplies the demand by `factor` from `fromMs` on. */
  burst?: {fromMs: number; factor: number};
  /** Reports and snapshots arrive one exchange later, as via a relay. */
  isRelayed?: boolean;
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

interface Entry {
  usage: OrganisationUsage;
  history: UseHistory;
  asked: number;
  used: number;
}

const WINDOW_MS = 8_000;

/** Simulates one organisation's load at entries that report to one holder. */
export function simulateFleet(options: FleetOptions): FleetOutcome {
  const {entries: count, limit, durationMs, random, skew = 0} = options;
  const {isDisconnected = () => false, restarts = () => false} = options;
  const {burst, isRelayed = false, takeover} = options;
  const delayedReports: Array<{atMs: number; report: UsageReport}> = [];
  const relayed: Array<{
    atMs: number;
    snapshot: FleetUsageSnapshot | undefined;
  }> = [];
  const startHolder = (startMs: number) =>
    new FleetUsage({
      windowMs: WINDOW_MS,
      startMs,
      limitOf: () => limit,
      knownUse: new Map(
        startMs === 0 ? [] : [[ORGANISATION, entries[0]!.history.window]],
      ),
      assumedUse: () => 0,
    });
  const startEntry = (isFleetUnused: boolean): Entry => ({
    usage: new OrganisationUsage(isFleetUnused),
    history: new UseHistory(WINDOW_MS, isFleetUnused),
    asked: 0,
    used: 0,
  });
  const entries = Array.from({length: count}, () => startEntry(true));
  let fleet = startHolder(0);
  const used = new SlidingWindow(WINDOW_MS);
  let falselyRefused = 0;
  let asked = 0;
  const admitted: Array<{atMs: number; tokens: number}> = [];
  const requestsPerStep =
    (options.askedPerSecond * STEP_MS) / 1_000 / options.meanTokens;
  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    if (nowMs === takeover?.toMs) {
      fleet = startHolder(nowMs);
      relayed.length = 0;
    }
    const isSilent =
      takeover && nowMs >= takeover.fromMs && nowMs < takeover.toMs;
    for (let i = 0; i < count; i++) {
      if (restarts(i, nowMs)) entries[i] = startEntry(false);
      if (isSilent || isDisconnected(i, nowMs)) continue;
      if ((nowMs + i * STEP_MS) % EXCHANGE_MS !== 0) continue;
      const entry = entries[i]!;
      const report: UsageReport = {
        organisation: ORGANISATION,
        asked: entry.asked,
        used: entry.used,
      };
      // The relay passes on the reports of the previous exchange.
      delayedReports.push({
        atMs: nowMs + (isRelayed ? EXCHANGE_MS : 0),
        report,
      });
      while (delayedReports.length > 0 && delayedReports[0]!.atMs <= nowMs) {
        fleet.addReports([delayedReports.shift()!.report], nowMs);
      }
      const unaccounted = isRelayed ? entry.used : 0;
      entry.asked = 0;
      entry.used = 0;
      entry.usage.markReported(nowMs);
      const knownMs = isRelayed ? nowMs - EXCHANGE_MS : nowMs;
      relayed.push({
        atMs: nowMs,
        snapshot: fleet.snapshot(nowMs)[ORGANISATION],
      });
      while (relayed.length > 1 && relayed[1]!.atMs <= knownMs) relayed.shift();
      const [{atMs, snapshot} = {atMs: nowMs, snapshot: undefined}] = relayed;
      if (!snapshot) continue;
      entry.usage.update(snapshot, atMs, unaccounted);
      entry.history.record(limit.perWindow - snapshot.left, atMs);
    }
    const factor = burst && nowMs >= burst.fromMs ? burst.factor : 1;
    let dueRequests = requestsPerStep * factor;
    while (dueRequests > 0 && random() < dueRequests) {
      dueRequests -= 1;
      const index = random() < skew ? 0 : Math.floor(random() ** 1.5 * count);
      const tokens = Math.round(
        Math.min(4, -Math.log(1 - random())) * options.meanTokens,
      );
      const entry = entries[index]!;
      asked += tokens;
      entry.asked += tokens;
      const decision = entry.usage.decide(tokens, {
        limit,
        nowMs,
        random,
        knownUse: entry.history.window,
      });
      if (decision.kind === 'admit') {
        entry.used += tokens;
        used.add(tokens, nowMs);
        admitted.push({atMs: nowMs, tokens});
      } else if (used.sum(nowMs) < limit.perWindow) {
        falselyRefused += tokens;
      }
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
