import {DEFAULT_EJECTION_OPTIONS, type EjectionOptions} from './options.js';
import type {EjectionDecision, RunnerOutcomes} from './types.js';

interface Outlier {
  vmId: string;
  severity: number;
  reason: string;
}

/**
 * Chooses the runners to avoid for a while, by comparison with their peers: a
 * slowdown of all runners is caused by load and is no reason to eject any.
 * Fewer than half are ejected at a time, because the rest would be overloaded.
 *
 * @example decideEjections(outcomes, clock.nowMs()).ejected // [{vmId, …}]
 */
export function decideEjections(
  outcomes: readonly RunnerOutcomes[],
  nowMs: number,
  options: EjectionOptions = DEFAULT_EJECTION_OPTIONS,
): EjectionDecision {
  const ejectedNow = outcomes.filter(outcome => isEjected(outcome, nowMs));
  const eligible = outcomes.filter(
    outcome =>
      !isEjected(outcome, nowMs) && totalOf(outcome) >= options.minOutcomes,
  );
  const allowed = ejectionLimit(outcomes.length, options) - ejectedNow.length;
  const outliers = eligible
    .map(outcome => outlierOf(outcome, eligible, options))
    .filter(outlier => outlier !== undefined)
    .sort(bySeverity)
    .slice(0, Math.max(0, allowed));
  const untilMs = nowMs + options.ejectionMs;
  return {
    ejected: outliers.map(({vmId, reason}) => ({vmId, untilMs, reason})),
  };
}

function isEjected(outcome: RunnerOutcomes, nowMs: number): boolean {
  return (outcome.ejectedUntilMs ?? 0) > nowMs;
}

function ejectionLimit(total: number, options: EjectionOptions): number {
  const underHalf = Math.ceil(total / 2) - 1;
  return Math.min(underHalf, Math.floor(total * options.maxEjectedShare));
}

function totalOf({successes, failures}: RunnerOutcomes): number {
  return successes + failures;
}

function failureShare(outcome: RunnerOutcomes): number {
  return outcome.failures / Math.max(1, totalOf(outcome));
}

function outlierOf(
  outcome: RunnerOutcomes,
  eligible: readonly RunnerOutcomes[],
  options: EjectionOptions,
): Outlier | undefined {
  const peers = eligible.filter(
    ({vmId, peerGroup}) =>
      vmId !== outcome.vmId && peerGroup === outcome.peerGroup,
  );
  if (peers.length + 1 < options.minPeers) return undefined;
  const excess = failureShare(outcome) - median(peers.map(failureShare));
  if (excess > options.failureMargin) {
    const percent = Math.round(failureShare(outcome) * 100);
    return {
      vmId: outcome.vmId,
      severity: 1 + excess,
      reason: `fails ${percent}%`,
    };
  }
  const answeringPeers = peers.filter(({firstTokenMs}) => firstTokenMs > 0);
  const peersMs = median(answeringPeers.map(({firstTokenMs}) => firstTokenMs));
  const excessMs = outcome.firstTokenMs - peersMs;
  const isSlow =
    answeringPeers.length > 0 &&
    outcome.firstTokenMs > peersMs * options.slowFactor &&
    excessMs > options.slowMarginMs;
  if (!isSlow) return undefined;
  const ownMs = Math.round(outcome.firstTokenMs);
  return {
    vmId: outcome.vmId,
    severity: excessMs / outcome.firstTokenMs,
    reason: `slow: ${ownMs}ms, peers ${Math.round(peersMs)}ms`,
  };
}

function bySeverity(a: Outlier, b: Outlier): number {
  if (a.severity !== b.severity) return b.severity - a.severity;
  return a.vmId < b.vmId ? -1 : 1;
}

function median(values: number[]): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  if (sorted.length % 2 === 1) return sorted[middle]!;
  return (sorted[middle - 1]! + sorted[middle]!) / 2;
}
