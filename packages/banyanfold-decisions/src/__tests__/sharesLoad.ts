export interface SharesOptions {
  entries: number;
  /** Work per second that the runners complete. */
  capacity: number;
  /** Part of the capacity that is there; all of it if undefined. */
  capacityShareAt?(nowMs: number): number;
  /** Work per second that each organisation requests. */
  demandOf(organisation: number, nowMs: number): number;
  organisations: number;
  durationMs: number;
  /** Outcomes of the requests that arrive in this span are counted. */
  countedFromMs: number;
  countedToMs: number;
  random: () => number;
  weightOf?: (organisation: string) => number;
  /** Entry at which all callers of an organisation arrive; any if undefined. */
  entryOf?: (organisation: number) => number | undefined;
  /** Without shares, all requests are admitted. */
  hasShares?: boolean;
  /** Reports and limits arrive one exchange later. */
  isRelayed?: boolean;
  isDisconnected?: (entry: number, nowMs: number) => boolean;
  /** Requests at a frozen entry are decided when it continues. */
  isFrozen?: (entry: number, nowMs: number) => boolean;
  /** A killed entry loses its reports and requests; callers go to others. */
  isKilled?: (entry: number, nowMs: number) => boolean;
  /** Time at which another process becomes the holder. */
  newHolderMs?: number;
}

export interface OrganisationOutcome {
  asked: number;
  served: number;
  longestWaitMs: number;
}

export interface SharesOutcome {
  byOrganisation: OrganisationOutcome[];
  /** Share of the capacity that was unused while requests were refused. */
  unused: number;
  refused: number;
  lastRefusalMs: number;
}
