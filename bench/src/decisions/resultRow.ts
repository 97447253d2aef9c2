export interface Spread {
  mean: number;
  min: number;
  max: number;
}

/** One line of the comparison. */
export interface ResultRow {
  deployment: string;
  scenario: string;
  policy: string;
  seeds: number[];
  attainmentPerAccelerator: Spread;
  attainment: Spread;
  deskAttainment: Spread;
  moves: Spread;
  ttftP95Ms: Spread;
  refusedShare: Spread;
  withoutCopy: Spread;
  note: string;
}
