import {describe, expect, it} from 'vitest';
import {annotateRows} from '../annotateRows.js';
import {compare} from '../compare.js';
import type {ResultRow} from '../resultRow.js';
import {DEPLOYMENTS} from '../deployments.js';
import {EventQueue} from '../eventQueue.js';
import {FakeEngine, type EngineJob} from '../fakes/fakeEngine.js';
import {FakeRetirementLog} from '../fakes/fakeRetirementLog.js';
import {FakeWeightStore} from '../fakes/fakeWeightStore.js';
import {initialPlacement} from '../initialPlacement.js';
import {drawPlot} from '../output/drawPlot.js';
import {renderTable} from '../output/renderTable.js';
import {POLICIES} from '../policies/index.js';
import {SCENARIOS} from '../scenarios.js';
import {drawTrace} from '../trace.js';

describe('EventQueue', () => {
  it('runs events by time, then in the order in which they came', () => {
    const events = new EventQueue();
    const seen: string[] = [];
    for (const [atMs, name] of [
      [5, 'c'],
      [1, 'a'],
      [5, 'd'],
      [3, 'b'],
    ] as const) {
      events.at(atMs, () => seen.push(`${name}@${events.nowMs}`));
    }
    events.at(9, () => seen.push('late'));
    events.runUntil(8);
    expect(seen).toEqual(['a@1', 'b@3', 'c@5', 'd@5']);
  });
});

describe('FakeEngine', () => {
  function play(jobs: Array<Partial<EngineJob>>): string[] {
    const events = new EventQueue();
    const engine = new FakeEngine(events, 'desk');
    const seen: string[] = [];
    jobs.forEach((changed, index) => {
      const note = (what: string) => () =>
        seen.push(`${index} ${what} ${events.nowMs.toFixed(1)}`);
      engine.start({
        artifact: 'm@v1',
        modelBytes: 10e9,
        priority: 0,
        promptTokens: 500,
        prefixTokens: 400,
        prefixHash: 'p',
        outputTokens: 10,
        onFirstToken: note('first'),
        onDone: note('done'),
        onBroken: note('broken'),
        ...changed,
      });
    });
    events.runUntil(50);
    engine.fail();
    events.runUntil(10_000);
    return seen;
  }

  it('prefills by class, reuses prefixes, and breaks what runs when lost', () => {
    expect(play([{}, {priority: 5, prefixHash: 'q'}, {}])).toMatchSnapshot();
  });
});

describe('FakeRetirementLog', () => {
  it('accepts one of two copies that rely on each other', () => {
    const log = new FakeRetirementLog(() => false);
    expect(log.retire('a', ['b'])).toBe(true);
    expect(log.retire('b', ['a'])).toBe(false);
    expect(new FakeRetirementLog(() => true).retire('a', ['b'])).toBe(false);
  });
});

describe('FakeWeightStore', () => {
  it('holds to its limits', () => {
    const events = new EventQueue();
    const store = new FakeWeightStore(events, {
      loadsPerSecond: 2,
      loadsAtOnce: 3,
      slowdown: 1,
    });
    const start = () => store.load(10e9, () => {});
    expect([start(), start(), start()]).toEqual([true, true, false]);
    events.runUntil(1_001);
    expect([start(), start()]).toEqual([true, false]);
  });
});

describe('initialPlacement', () => {
  it.each(DEPLOYMENTS)('holds every model of $name', deployment => {
    expect(deployment.runners.length).toBeLessThan(deployment.models.length);
    const placed = new Set([...initialPlacement(deployment).values()].flat());
    expect(placed.size).toBe(deployment.models.length);
  });
});

describe('drawTrace', () => {
  it('repeats for a seed, and differs between seeds', () => {
    const [deployment] = DEPLOYMENTS;
    const [scenario] = SCENARIOS;
    const draw = (seed: number) => drawTrace(deployment!, scenario!, seed);
    expect(draw(1)).toEqual(draw(1));
    expect(draw(1)).not.toEqual(draw(2));
  });
});

describe('compare', () => {
  it('repeats, with every policy on the same trace', () => {
    const play = () =>
      compare({
        deployments: DEPLOYMENTS.slice(0, 1),
        scenarios: SCENARIOS.filter(({name}) => name === 'server-lost'),
        policies: POLICIES,
        seeds: [7],
        onProgress: () => {},
      });
    const rows = play();
    expect(rows).toEqual(play());
    expect(rows.map(({policy}) => policy)).toMatchSnapshot();
    const best = Math.max(...rows.map(({attainment}) => attainment.mean));
    expect(rows.at(-1)!.attainment.mean).toBe(best);
  });
});

describe('annotateRows', () => {
  it('names the baselines that ours loses to', () => {
    const spread = (mean: number) => ({mean, min: mean, max: mean});
    const row = (
      policy: string,
      attained: number,
      moves: number,
    ): ResultRow => ({
      deployment: 'd',
      scenario: 's',
      policy,
      seeds: [1],
      attainmentPerAccelerator: spread(attained / 10),
      attainment: spread(attained),
      deskAttainment: spread(attained),
      moves: spread(moves),
      ttftP95Ms: spread(100),
      refusedShare: spread(0),
      withoutCopy: spread(0),
      note: '',
    });
    const rows = [
      row('banyanfold', 0.9, 5),
      row('previous', 0.95, 0),
      row('round-robin', 0.91, 9),
      row('static', 0.9, 0),
      row('least-connections', 0.8, 0),
      row('sticky-least-loaded', 0.8, 3),
    ];
    annotateRows(rows);
    expect(renderTable(rows)).toMatchSnapshot();
    expect(drawPlot(rows)).toContain('</svg>');
  });
});
