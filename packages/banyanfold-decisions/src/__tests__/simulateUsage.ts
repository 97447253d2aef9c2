import {FleetUsage, type UsageReport} from '../usage/fleetUsage.js';
import {
  OrganisationUsage,
  type FleetUsageSnapshot,
} from '../usage/organisationUsage.js';
import type {UsageLimit} from '../usage/usageLimit.js';
import {SlidingWindow} from '../usage/slidingWindow.js';

const ORGANISATION = 'claims';
const STEP_MS = 10;
/** Between two reports of an entry. */
export const EXCHANGE_MS = 250;

export interface FleetOptions {
  entries: number;
  limit: UsageLimit;
  /** Mean tokens of a request; the largest are four times as many. */
  meanTokens: number;
  askedPerSecond: number;
  /** From then on so many times as much is asked. */
  burst?: {fromMs: number; factor: number};
  /**
   * Reports reach the holder, and its word the entries, one exchange later, as
   * through a relay.
   */
  isRelayed?: boolean;
  forMs: number;
  random: () => number;
  /** Whether an entry is cut off from the holder. */
  isCut?: (entry: number, nowMs: number) => boolean;
  /** Whether an entry starts anew at this step. */
  restarts?: (entry: number, nowMs: number) => boolean;
  /** Share of the requests that go to the first entry. */
  skew?: number;
}

export interface FleetOutcome {
  asked: number;
  admitted: number;
  /** Refused while the whole fleet had something left. */
  falselyRefused: number;
  /** The most tokens in a window beyond its cap, as a share of it. */
  overshoot: number;
}

interface Entry {
  usage: OrganisationUsage;
  asked: number;
  used: number;
}

const WINDOW_MS = 8_000;

/** Plays one organisation's load at entries that report to one holder. */
export function simulateFleet(options: FleetOptions): FleetOutcome {
  const {entries: count, limit, forMs, random, skew = 0} = options;
  const {isCut = () => false, restarts = () => false} = options;
  const {burst, isRelayed = false} = options;
  const late: Array<{atMs: number; report: UsageReport}> = [];
  const words: Array<{atMs: number; told: FleetUsageSnapshot | undefined}> = [];
  const fleet = new FleetUsage({
    windowMs: WINDOW_MS,
    startMs: 0,
    limitOf: () => limit,
    initialUse: () => 0,
  });
  const start = (isUnused: boolean): Entry => ({
    usage: new OrganisationUsage(isUnused),
    asked: 0,
    used: 0,
  });
  const entries = Array.from({length: count}, () => start(true));
  const used = new SlidingWindow(WINDOW_MS);
  let falselyRefused = 0;
  let asked = 0;
  const admitted: Array<{atMs: number; tokens: number}> = [];
  const perStep =
    (options.askedPerSecond * STEP_MS) / 1_000 / options.meanTokens;
  for (let nowMs = 0; nowMs < forMs; nowMs += STEP_MS) {
    for (let i = 0; i < count; i++) {
      if (restarts(i, nowMs)) entries[i] = start(false);
      if (isCut(i, nowMs)) continue;
      if ((nowMs + i * STEP_MS) % EXCHANGE_MS !== 0) continue;
      const entry = entries[i]!;
      const report: UsageReport = {
        organisation: ORGANISATION,
        asked: entry.asked,
        used: entry.used,
      };
      // The relay passes on what it was told an exchange before.
      late.push({atMs: nowMs + (isRelayed ? EXCHANGE_MS : 0), report});
      while (late.length > 0 && late[0]!.atMs <= nowMs) {
        fleet.addReports([late.shift()!.report], nowMs);
      }
      const untold = isRelayed ? entry.used : 0;
      entry.asked = 0;
      entry.used = 0;
      entry.usage.markReported(nowMs);
      const wordMs = isRelayed ? nowMs - EXCHANGE_MS : nowMs;
      words.push({atMs: nowMs, told: fleet.snapshot(nowMs)[ORGANISATION]});
      while (words.length > 1 && words[1]!.atMs <= wordMs) words.shift();
      const [{atMs, told} = {atMs: nowMs, told: undefined}] = words;
      if (told) entry.usage.update(told, atMs, untold);
    }
    const factor = burst && nowMs >= burst.fromMs ? burst.factor : 1;
    let due = perStep * factor;
    while (due > 0 && random() < due) {
      due -= 1;
      const at = random() < skew ? 0 : Math.floor(random() ** 1.5 * count);
      const tokens = Math.round(
        Math.min(4, -Math.log(1 - random())) * options.meanTokens,
      );
      const entry = entries[at]!;
      asked += tokens;
      entry.asked += tokens;
      const decision = entry.usage.decide(tokens, {
        limit,
        nowMs,
        random,
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
  let most = 0;
  let sum = 0;
  let first = 0;
  for (const {atMs, tokens} of admitted) {
    sum += tokens;
    while (admitted[first]!.atMs <= atMs - WINDOW_MS) {
      sum -= admitted[first]!.tokens;
      first += 1;
    }
    most = Math.max(most, sum);
  }
  return most / cap - 1;
}
