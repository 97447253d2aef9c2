import {build} from 'hdr-histogram-js';
import type {WorkKind} from './deployments.js';

const PERCENT_95 = 95;

/** What one run measured. */
export interface RunResult {
  attainment: number;
  deskAttainment: number;
  attainmentPerAccelerator: number;
  moves: number;
  ttftP95Ms: number;
  refusedShare: number;
  /** Labelled artifacts that no runner held, in the mean over the run. */
  withoutCopy: number;
}

interface KindCounts {
  asked: number;
  attained: number;
}

/** Counts first asks; what callers ask again is load, not score. */
export class RunMetrics {
  moves = 0;
  private refused = 0;
  private withoutCopy = 0;
  private samples = 0;
  private readonly kinds: Record<WorkKind, KindCounts> = {
    desk: {asked: 0, attained: 0},
    drafting: {asked: 0, attained: 0},
  };
  private readonly firstTokens = build({numberOfSignificantValueDigits: 2});

  asked(kind: WorkKind): void {
    this.kinds[kind].asked += 1;
  }

  attained(kind: WorkKind): void {
    this.kinds[kind].attained += 1;
  }

  refusedOnce(): void {
    this.refused += 1;
  }

  sampleWithoutCopy(artifacts: number): void {
    this.withoutCopy += artifacts;
    this.samples += 1;
  }

  firstToken(tookMs: number): void {
    this.firstTokens.recordValue(Math.max(1, Math.round(tookMs)));
  }

  result(accelerators: number): RunResult {
    const {desk, drafting} = this.kinds;
    const asked = desk.asked + drafting.asked;
    const attainment = (desk.attained + drafting.attained) / asked;
    return {
      attainment,
      deskAttainment: desk.attained / desk.asked,
      attainmentPerAccelerator: attainment / accelerators,
      moves: this.moves,
      ttftP95Ms: this.firstTokens.getValueAtPercentile(PERCENT_95),
      refusedShare: this.refused / asked,
      withoutCopy: this.withoutCopy / Math.max(1, this.samples),
    };
  }
}
