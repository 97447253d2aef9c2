import type {ResultRow, Spread} from '../resultRow.js';

const PERCENT = 100;
const COLUMNS = [
  'deployment',
  'scenario',
  'policy',
  'attained/accelerator %',
  'attained %',
  'desk %',
  'moves',
  'ttft p95 ms',
  'refused %',
  'without copy',
  'note',
];

/** A table for people; mean, with the lowest and highest seed. */
export function renderTable(rows: ResultRow[]): string {
  const lines = [COLUMNS, ...rows.map(cells)];
  const widths = COLUMNS.map((_, column) =>
    Math.max(...lines.map(line => line[column]!.length)),
  );
  return lines
    .map(line =>
      line
        .map((cell, column) => cell.padEnd(widths[column]!))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

function cells(row: ResultRow): string[] {
  return [
    row.deployment,
    row.scenario,
    row.policy,
    percent(row.attainmentPerAccelerator, 3),
    percent(row.attainment, 1),
    percent(row.deskAttainment, 1),
    spread(row.moves, 0),
    spread(row.ttftP95Ms, 0),
    percent(row.refusedShare, 1),
    spread(row.withoutCopy, 1),
    row.note,
  ];
}

function percent({mean, min, max}: Spread, digits: number): string {
  return spread(
    {mean: mean * PERCENT, min: min * PERCENT, max: max * PERCENT},
    digits,
  );
}

function spread({mean, min, max}: Spread, digits: number): string {
  const [m, low, high] = [mean, min, max].map(v => v.toFixed(digits));
  return `${m} (${low}-${high})`;
}
