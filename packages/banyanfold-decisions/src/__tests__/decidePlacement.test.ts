import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {decidePlacement} from '../decidePlacement.js';
import {DEFAULT_PLACEMENT_OPTIONS} from '../options.js';
import type {PlacementView} from '../types.js';
import {placementArtifact, placementRunner, placementView} from './views.js';

const NOW_MS = 10_000;

function movesOf(view: PlacementView, overrides = {}): string[] {
  const options = {...DEFAULT_PLACEMENT_OPTIONS, ...overrides};
  return decidePlacement(view, NOW_MS, options).moves.map(
    ({kind, vmId, artifact, runnerRole}) =>
      `${kind} ${vmId} ${artifact}${runnerRole}`,
  );
}

const X = placementArtifact('x@1');
const Y = placementArtifact('y@1');
const Z = placementArtifact('z@1');

describe('decidePlacement', () => {
  it('moves nothing if all artifacts are held and none is hot', () => {
    const runners = [placementRunner('a', ['x@1']), placementRunner('b', [])];
    expect(movesOf(placementView(runners, [X]))).toEqual([]);
  });

  it('loads the most urgent orphans first, within the limits', () => {
    const view = placementView(
      [placementRunner('a', []), placementRunner('b', [])],
      [{...X, priority: 5}, {...Y, waiting: 1}, Z],
    );
    expect(movesOf(view)).toEqual(['load a y@1']);
    const fast = {loadsPerSecond: 2};
    expect(movesOf(view, fast)).toEqual(['load a y@1', 'load b z@1']);
    const busy = {...view, loadsInFlight: 4};
    expect(movesOf(busy)).toEqual([]);
    expect(movesOf({...view, lastLoadMs: NOW_MS - 500})).toEqual([]);
  });

  it('does not count copies on runners that are lost or leaving', () => {
    for (const unusable of [{reachable: false}, {leaving: true}]) {
      const runners = [
        placementRunner('a', ['x@1'], unusable),
        placementRunner('b', []),
      ];
      expect(movesOf(placementView(runners, [X]))).toEqual(['load b x@1']);
    }
  });

  it('loads an adapter only beside its model', () => {
    const runners = [placementRunner('a', ['x@1']), placementRunner('b', [])];
    const view = placementView(runners, [X, placementArtifact('x@1+l@1')]);
    expect(movesOf(view)).toEqual(['load a x@1+l@1']);
  });

  it('prefers another failure domain for a second copy', () => {
    const hot = {...X, demandPerSecond: 6};
    const view = placementView(
      [
        placementRunner('a', ['x@1'], {failureDomain: 'd0'}),
        placementRunner('b', [], {failureDomain: 'd0'}),
        placementRunner('c', [], {failureDomain: 'd1'}),
      ],
      [hot],
    );
    expect(movesOf(view)).toEqual(['load c x@1']);
    expect(movesOf(view, {moveWeight: 1_000})).toEqual([]);
  });

  it('retires a surplus copy, relying on the one elsewhere', () => {
    const view = placementView(
      [
        placementRunner('a', ['x@1', 'y@1']),
        placementRunner('b', ['x@1', 'y@1'], {memoryFreeBytes: 0}),
      ],
      [X, Y, {...Z, bytes: 30}],
    );
    expect(decidePlacement(view, NOW_MS)).toMatchSnapshot();
  });

  it('retires adapters before the model that they need', () => {
    const both = ['x@1', 'x@1+l@1', 'y@1'];
    const view = placementView(
      [placementRunner('a', both), placementRunner('b', both)],
      [X, Y, placementArtifact('x@1+l@1'), {...Z, bytes: 42}],
    );
    expect(movesOf(view)).toMatchSnapshot();
  });

  it('retires a version that is no longer published', () => {
    const view = placementView(
      [placementRunner('a', ['x@0', 'y@1'])],
      [Y, {...X, bytes: 30}],
    );
    expect(movesOf(view)).toEqual(['retire a x@0']);
  });

  it('relocates a sole copy if only that makes room', () => {
    const view = placementView(
      [placementRunner('a', ['x@1', 'y@1']), placementRunner('b', ['w@1'])],
      [X, Y, placementArtifact('w@1'), {...Z, bytes: 48}],
    );
    expect(movesOf(view)).toEqual(['load a w@1']);
  });

  it('places other orphans if some fit nowhere', () => {
    // Guards against orphans that starve others: four orphans are too large for
    // any runner and come first, while memory for z is free.
    const large = ['p@1', 'q@1', 's@1', 't@1'].map(name =>
      placementArtifact(name, {bytes: 99, waiting: 1}),
    );
    const view = placementView([placementRunner('a', [])], [...large, Z]);
    expect(movesOf(view)).toEqual(['load a z@1']);
  });

  it('reserves the memory that adapters need beside their model', () => {
    // Guards against an adapter that can never be loaded: z would take the last
    // memory of the only runner that holds the adapter's model.
    const view = placementView(
      [placementRunner('a', ['x@1'], {memoryFreeBytes: 20})],
      [X, Z, placementArtifact('x@1+l@1', {priority: 5})],
    );
    expect(movesOf(view)).toEqual(['load a x@1+l@1']);
  });

  it('reports why an artifact cannot be placed', () => {
    const view = placementView(
      [placementRunner('a', ['x@1'])],
      [X, {...Y, bytes: 99}],
    );
    expect(decidePlacement(view, NOW_MS).unplaced).toEqual([
      {artifact: 'y@1', reason: 'no-memory'},
    ]);
  });

  it('moves a runner from an idle role to an overloaded one', () => {
    const view = placementView(
      [
        placementRunner('a', ['x@1'], {runnerRole: 'drafting', queued: 20}),
        placementRunner('b', []),
        placementRunner('c', []),
      ],
      [X],
    );
    expect(movesOf(view)).toEqual(['set-role b drafting']);
    const held = {lastRoleChangeMs: NOW_MS - 1};
    expect(movesOf(view, held)).toEqual([]);
  });
});

const NAMES = ['x@1', 'x@1+l@1', 'y@1', 'y@1+k@1', 'z@1'];
const ARTIFACTS = NAMES.map(name => placementArtifact(name));

const anyRunners = fc
  .array(
    fc.record({
      held: fc.subarray(NAMES),
      reachable: fc.boolean(),
      demands: fc.nat(20),
    }),
    {minLength: 1, maxLength: 6},
  )
  .map(drawnRunners =>
    drawnRunners.map(({held, reachable}, index) =>
      placementRunner(`r${index}`, held, {
        reachable,
        memoryFreeBytes: Math.max(0, 64 - held.length * 13),
      }),
    ),
  );
const anyArtifacts = fc
  .array(fc.nat(20), {minLength: NAMES.length, maxLength: NAMES.length})
  .map(demands =>
    ARTIFACTS.map((artifact, index) => ({
      ...artifact,
      demandPerSecond: demands[index]!,
    })),
  );

describe('decidePlacement properties', () => {
  it('keeps a held copy of each artifact that had one', () => {
    fc.assert(
      fc.property(anyRunners, anyArtifacts, (runners, artifacts) => {
        const view = placementView(runners, artifacts);
        const {moves} = decidePlacement(view, NOW_MS);
        const retired = new Set(
          moves
            .filter(({kind}) => kind === 'retire')
            .map(({artifact, vmId}) => `${artifact}/${vmId}`),
        );
        for (const name of NAMES) {
          const copyIds = heldCopyIds(view, name);
          const remaining = copyIds.filter(id => !retired.has(id));
          if (copyIds.length > 0) expect(remaining).not.toEqual([]);
        }
        for (const move of moves) {
          if (move.kind !== 'retire') continue;
          expect(move.reliesOnCopyIds).not.toEqual([]);
          expect(move.reliesOnCopyIds.some(id => retired.has(id))).toBe(false);
        }
      }),
      {numRuns: 500},
    );
  });

  it('proposes no more memory than is free, and is deterministic', () => {
    fc.assert(
      fc.property(anyRunners, anyArtifacts, (runners, artifacts) => {
        const view = placementView(runners, artifacts);
        const options = {...DEFAULT_PLACEMENT_OPTIONS, loadsPerSecond: 4};
        const decision = decidePlacement(view, NOW_MS, options);
        expect(decidePlacement(view, NOW_MS, options)).toEqual(decision);
        for (const runner of runners) {
          const loaded = decision.moves
            .filter(({kind, vmId}) => kind === 'load' && vmId === runner.vmId)
            .reduce((sum, {bytes}) => sum + bytes, 0);
          expect(loaded).toBeLessThanOrEqual(runner.memoryFreeBytes);
        }
      }),
      {numRuns: 500},
    );
  });
});

function heldCopyIds(view: PlacementView, name: string): string[] {
  return view.runners
    .filter(({reachable}) => reachable)
    .flatMap(({copies}) => copies)
    .filter(({artifact}) => artifact === name)
    .map(({copyId}) => copyId);
}
