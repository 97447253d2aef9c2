import type {ResultRow} from '../resultRow.js';

const BAR_HEIGHT = 7;
const GROUP_GAP = 10;
const LABEL_WIDTH = 120;
const PANEL_WIDTH = 300;
const TOP = 60;
const COLORS: Record<string, string> = {
  banyanfold: '#0b6e4f',
  previous: '#73a857',
  'round-robin': '#b0b0b0',
  'least-connections': '#808080',
  'sticky-least-loaded': '#d98e04',
  static: '#4a6fa5',
  'pooled-bound': '#dddddd',
};

interface Panel {
  deployment: string;
  title: string;
  value: (row: ResultRow) => number;
}

/** Bars of attainment and moves for each deployment, as SVG. */
export function drawPlot(rows: ResultRow[]): string {
  const deployments = unique(rows.map(({deployment}) => deployment));
  const panels = deployments.flatMap((deployment): Panel[] => [
    {
      deployment,
      title: `${deployment}: attained per accelerator`,
      value: row => row.attainmentPerAccelerator.mean,
    },
    {deployment, title: `${deployment}: moves`, value: row => row.moves.mean},
  ]);
  const scenarios = unique(rows.map(({scenario}) => scenario));
  const policies = unique(rows.map(({policy}) => policy));
  const groupHeight = policies.length * BAR_HEIGHT + GROUP_GAP;
  const width = LABEL_WIDTH + panels.length * PANEL_WIDTH;
  const height = TOP + scenarios.length * groupHeight;
  const parts = [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="11">`,
    `<rect width="${width}" height="${height}" fill="white"/>`,
    ...policies.map(drawLegend),
  ];
  scenarios.forEach((scenario, index) => {
    const y = TOP + index * groupHeight + groupHeight / 2;
    parts.push(`<text x="4" y="${y}">${scenario}</text>`);
  });
  panels.forEach((panel, index) => {
    const x = LABEL_WIDTH + index * PANEL_WIDTH;
    parts.push(`<text x="${x}" y="${TOP - 12}">${panel.title}</text>`);
    parts.push(...drawBars(rows, panel, x, scenarios, policies, groupHeight));
  });
  return `${parts.join('\n')}\n</svg>\n`;
}

function drawBars(
  rows: ResultRow[],
  panel: Panel,
  x: number,
  scenarios: string[],
  policies: string[],
  groupHeight: number,
): string[] {
  const own = rows.filter(({deployment}) => deployment === panel.deployment);
  const highest = Math.max(1e-9, ...own.map(panel.value));
  return own.map(row => {
    const width = (panel.value(row) / highest) * (PANEL_WIDTH - 40);
    const y =
      TOP +
      scenarios.indexOf(row.scenario) * groupHeight +
      policies.indexOf(row.policy) * BAR_HEIGHT;
    const title = `${row.scenario} ${row.policy}: ${panel.value(row)}`;
    return `<rect x="${x}" y="${y}" width="${width.toFixed(1)}" height="${BAR_HEIGHT - 1}" fill="${COLORS[row.policy] ?? '#000'}"><title>${title}</title></rect>`;
  });
}

function drawLegend(policy: string, index: number): string {
  const x = 10 + index * 150;
  const color = COLORS[policy] ?? '#000';
  return `<rect x="${x}" y="8" width="10" height="10" fill="${color}"/><text x="${x + 14}" y="17">${policy}</text>`;
}

function unique(values: string[]): string[] {
  return [...new Set(values)];
}
