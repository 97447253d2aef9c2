import {describe, expect, it} from 'vitest';
import {compareRun} from '../processes/predict.js';
import type {ProcessCost, ProcessRun} from '../processes/runProcesses.js';
import {ROUND_SLOPES} from './slopesFixture.js';

function costOf(role: ProcessCost['role'], isPlanner = false): ProcessCost {
  return {
    vmId: role,
    role,
    isPlanner,
    cpuUsPerSecond: 50_000,
    bytesPerSecond: 30_000,
    packetBytesPerSecond: 33_000,
    rssBytes: 100e6,
  };
}

function runOf(agents: number): ProcessRun {
  return {
    size: {entries: 2, agents},
    models: 60,
    costs: [costOf('entry'), costOf('entry', true), costOf('agent')],
    delays: {
      changes: 0,
      nodes: 0,
      p50Ms: 0,
      p95Ms: 0,
      maxMs: 0,
      acceptedP50Ms: 0,
    },
  };
}

describe('compareRun', () => {
  it.each([
    ['with copies that the planner had loaded', 8],
    ['with the copies of the start', 30],
  ])('predicts each role %s', (_name, agents) => {
    expect(compareRun(runOf(agents), ROUND_SLOPES)).toMatchSnapshot();
  });

  it('leaves out a role that had no process', () => {
    const run = {...runOf(8), costs: [costOf('agent')]};
    const roles = compareRun(run, ROUND_SLOPES).map(({role}) => role);
    expect(roles).toEqual(['agent']);
  });
});
