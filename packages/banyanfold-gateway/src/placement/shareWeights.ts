import type {OrganisationDirectory} from '../callers/organisationDirectory.js';
import type {UsageCap} from '../types.js';

const TOKENS_PER_WORK = 1_000;

/**
 * Weights of organisations in the division of capacity: the rates of their
 * usage caps in work per second. An organisation without a cap, and the callers
 * without an organisation, have the mean weight; all are equal without caps.
 */
export class ShareWeights {
  private directory: OrganisationDirectory | undefined;
  private meanWeight = 1;

  constructor(
    private readonly currentDirectory: () => OrganisationDirectory | undefined,
  ) {}

  /** @example weights.of('claims') // 60 */
  of(organisation: string): number {
    const directory = this.currentDirectory();
    if (directory !== this.directory) {
      this.directory = directory;
      this.meanWeight = meanWeightOf(directory);
    }
    const cap = directory?.findByName(organisation)?.usageCap;
    return weightOf(cap) ?? this.meanWeight;
  }
}

function weightOf(cap: UsageCap | undefined): number | undefined {
  if (!cap || cap.ratePerSecond <= 0) return undefined;
  const {unit, ratePerSecond} = cap;
  return unit === 'tokens' ? ratePerSecond / TOKENS_PER_WORK : ratePerSecond;
}

function meanWeightOf(directory: OrganisationDirectory | undefined): number {
  const weights = (directory?.organisations ?? [])
    .map(({usageCap}) => weightOf(usageCap))
    .filter(weight => weight !== undefined);
  if (weights.length === 0) return 1;
  return weights.reduce((sum, weight) => sum + weight, 0) / weights.length;
}
