import {mkdir, writeFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import type {ResultRow} from '../resultRow.js';
import {drawPlot} from './drawPlot.js';
import {renderTable} from './renderTable.js';

const BENCH_FOLDER = new URL('../../../', import.meta.url);
const RESULTS = new URL('results/decisions.json', BENCH_FOLDER);
const PLOT = new URL('../docs/plots/decisions.svg', BENCH_FOLDER);

/** Prints the table, and writes the rows and the plot. */
export async function writeResults(
  rows: ResultRow[],
  {filesToo}: {filesToo: boolean},
): Promise<void> {
  console.log(renderTable(rows));
  if (!filesToo) return;
  await write(RESULTS, `${JSON.stringify(rows, null, 2)}\n`);
  await write(PLOT, drawPlot(rows));
}

async function write(file: URL, text: string): Promise<void> {
  await mkdir(fileURLToPath(new URL('.', file)), {recursive: true});
  await writeFile(file, text);
}
