import {execFileSync} from 'node:child_process';
import {existsSync, mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {loadavg} from 'node:os';
import type {PathFigures} from './model/dataCosts.js';
import type {Slopes} from './model/slope.js';
import type {ProcessRun} from './processes/runProcesses.js';

const RESULTS = new URL('../../results/', import.meta.url);
const CAPACITY = new URL('capacity.json', RESULTS);
const RUN_PROCESSES = 'npm run bench -- capacity --processes';
const PATH = new URL('path.json', RESULTS);

/** On what a section was measured. */
export interface Provenance {
  command: string;
  /** The commit, with `+` when the checkout had other changes as well. */
  commit: string;
  takenAt: string;
  nodeVersion: string;
  /** Others on the machine disturb processor times; this tells how many. */
  loadAverage1: number;
}

export interface CapacityResults {
  [section: string]: {provenance: Provenance; [part: string]: unknown};
}

export function provenanceOf(command: string): Provenance {
  return {
    command,
    commit: commitNow(),
    takenAt: new Date().toISOString(),
    nodeVersion: process.version,
    loadAverage1: loadavg()[0] ?? 0,
  };
}

/** Replaces one section of the results and keeps the others. */
export function writeSection(
  name: string,
  command: string,
  parts: Record<string, unknown>,
): void {
  const results = readResults();
  results[name] = {provenance: provenanceOf(command), ...parts};
  mkdirSync(RESULTS, {recursive: true});
  writeFileSync(CAPACITY, `${JSON.stringify(results, undefined, 2)}\n`);
}

/** @throws when no run has measured the slopes yet. */
export function readSlopes(): Slopes {
  const slopes = readResults()['slopes']?.['slopes'];
  if (!slopes) throw new Error('run "npm run bench -- capacity" first');
  return slopes as Slopes;
}

/** @throws when no run of processes was made yet. */
export function readRuns(): ProcessRun[] {
  const runs = readResults()['processes']?.['runs'];
  if (!runs) throw new Error(`run "${RUN_PROCESSES}" first`);
  return runs as ProcessRun[];
}

/** What the path bench wrote, if it was run. */
export function readPathFigures(): PathFigures | undefined {
  if (!existsSync(PATH)) return undefined;
  return JSON.parse(readFileSync(PATH, 'utf8')) as PathFigures;
}

function readResults(): CapacityResults {
  if (!existsSync(CAPACITY)) return {};
  return JSON.parse(readFileSync(CAPACITY, 'utf8')) as CapacityResults;
}

function commitNow(): string {
  try {
    const commit = git('rev-parse', '--short', 'HEAD');
    const changed = git('status', '--porcelain', '--', 'packages', 'bench/src');
    return changed === '' ? commit : `${commit}+`;
  } catch {
    return 'unknown';
  }
}

function git(...args: string[]): string {
  return execFileSync('git', args, {encoding: 'utf8'}).trim();
}
