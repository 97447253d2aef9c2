import {BanyanfoldError, MemoryLogger, VirtualClock} from '@banyanfold/core';
import {err, ok} from 'neverthrow';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {LeaseManager} from '../placement/leaseManager.js';
import type {LeaseStore} from '../types.js';

const TTL_MS = 1_000;
const LEASE_MS = 3_000;
const CONTACT_MS = 500;

const EVENTS = [
  'freeze',
  'resume',
  'down',
  'up',
  'disconnect',
  'reconnect',
  'leave-group',
  'rejoin-group',
  'backup',
  'restore',
] as const;

type StoreState = 'up' | 'down';

/** Generations per era of the store; the next era assigns them again. */
const GENERATIONS_PER_ERA = 1_000;

/** The store, which assigns one lease to one member at a time. */
class FakeLeaseStore {
  state: StoreState = 'up';
  generation = 0;
  owner: string | undefined;
  private era = 0;
  private lastSeenMs = new Map<string, number>();
  private backup: Pick<FakeLeaseStore, 'generation' | 'owner'> & {
    lastSeenMs: Map<string, number>;
  } = {generation: 0, owner: undefined, lastSeenMs: new Map()};
  readonly disconnected = new Set<string>();

  constructor(private readonly clock: VirtualClock) {}

  storeFor(member: string): LeaseStore {
    const unreachable = () =>
      err(new BanyanfoldError('no-answer', 'down', {step: 's', peer: 'store'}));
    const isUnavailable = () =>
      this.state === 'down' || this.disconnected.has(member);
    return {
      join: async () => {
        if (isUnavailable()) return unreachable();
        this.removeExpired();
        if (!this.lastSeenMs.has(member)) this.generation += 1;
        this.lastSeenMs.set(member, this.clock.nowMs());
        // Reassigns the lease among the members, as some stores do on a join.
        [this.owner] = [...this.lastSeenMs.keys()].sort();
        const owns = this.owner === member;
        const generation = this.era * GENERATIONS_PER_ERA + this.generation;
        const isFirstGeneration = this.era === 0 && this.generation === 1;
        return ok({generation, isFirstGeneration, owns});
      },
      leave: async () => {
        if (isUnavailable()) return unreachable();
        this.remove(member);
        return ok(undefined);
      },
      owner: async () => {
        if (isUnavailable()) return unreachable();
        this.removeExpired();
        return ok(this.owner);
      },
    };
  }

  createBackup(): void {
    const {generation, owner, lastSeenMs} = this;
    this.backup = {generation, owner, lastSeenMs: new Map(lastSeenMs)};
  }

  /** Restores the backup; generations assigned since are assigned again. */
  restore(): void {
    this.era += 1;
    this.generation = this.backup.generation;
    this.owner = this.backup.owner;
    this.lastSeenMs = new Map(this.backup.lastSeenMs);
  }

  private removeExpired(): void {
    for (const [member, atMs] of this.lastSeenMs) {
      if (this.clock.nowMs() - atMs > TTL_MS) this.remove(member);
    }
  }

  private remove(member: string): void {
    if (!this.lastSeenMs.delete(member)) return;
    this.generation += 1;
    if (this.owner === member) this.owner = undefined;
  }
}

/** A process whose timers stop while it is frozen. */
class Process {
  isFrozen = false;
  frozenMs = 0;
  readonly manager: LeaseManager;
  readonly logger = new MemoryLogger();
  private pendingCallbacks: Array<() => void> = [];

  constructor(
    readonly name: string,
    world: Simulation,
    fenced: boolean,
  ) {
    const {clock, store} = world;
    this.manager = new LeaseManager({
      clock: {
        nowMs: () => clock.nowMs() - this.frozenMs,
        wallMs: () => clock.wallMs(),
        setTimer: (delayMs, callback) =>
          clock.setTimer(delayMs, () => {
            if (this.isFrozen) this.pendingCallbacks.push(callback);
            else callback();
          }),
      },
      logger: this.logger,
      store: store.storeFor(name),
      address: name,
      ttlMs: TTL_MS,
      leaseMs: LEASE_MS,
      contactMs: CONTACT_MS,
      areRunnersFenced: fenced,
      isFirstStart: false,
      queryFormerHolder: async (address, generation) => {
        const former = world.processes.find(p => p.name === address);
        if (!former || former.isFrozen) return undefined;
        const isOutOfTouch = former.manager.yieldTo(generation);
        return {agoMs: 0, upMs: clock.nowMs(), isOver: isOutOfTouch};
      },
      handOver: async handover =>
        world.processes.find(
          p => p !== this && !p.isFrozen && p.manager.takeOver(handover),
        )?.name,
    });
  }

  resume(): void {
    this.isFrozen = false;
    for (const callback of this.pendingCallbacks.splice(0)) callback();
  }
}

class Simulation {
  readonly clock = new VirtualClock();
  readonly store = new FakeLeaseStore(this.clock);
  readonly processes: Process[] = [];

  constructor(fenced: boolean) {
    for (const name of ['p1', 'p2', 'p3']) {
      this.processes.push(new Process(name, this, fenced));
    }
    for (const {manager} of this.processes) manager.start();
  }

  holders(): Process[] {
    return this.processes.filter(
      p => !p.isFrozen && p.manager.current().isHolder,
    );
  }

  async run(forMs: number, onStep: () => void = () => {}): Promise<void> {
    const STEP_MS = 50;
    for (let t = 0; t < forMs; t += STEP_MS) {
      for (const p of this.processes) if (p.isFrozen) p.frozenMs += STEP_MS;
      await this.clock.advance(STEP_MS);
      onStep();
    }
  }
}

describe('LeaseManager', () => {
  it('assigns the lease to one process, and to another when that one fails', async () => {
    const world = new Simulation(true);
    await world.run(LEASE_MS + 500);
    const [first] = world.holders();
    expect(world.holders()).toHaveLength(1);
    for (const {manager} of world.processes) manager.refreshHolder();
    await world.run(100);
    first!.isFrozen = true;
    await world.run(TTL_MS * 3);
    expect(world.holders().map(p => p.name)).not.toContain(first!.name);
    expect(world.holders()).toHaveLength(1);
  });

  it('keeps the holder when other processes start', async () => {
    // VMs are added under load. If their processes joined the group, the store
    // would reassign the lease, and the new holder would have to wait before it
    // may send orders. Adapters have to stay available throughout.
    const world = new Simulation(true);
    await world.run(LEASE_MS + 500);
    const [first] = world.holders();
    for (const name of ['a1', 'a2', 'a3']) {
      const added = new Process(name, world, true);
      world.processes.push(added);
      added.manager.start();
    }
    await world.run(LEASE_MS, () => expect(world.holders()).toEqual([first]));
    const added = world.processes.at(-1)!;
    expect(added.manager.current().holderAddress).toBe(first!.name);
  });

  it('reports a vacant lease once the group is empty', async () => {
    // A process outside the group may rejoin only when the lease is vacant:
    // while the holder is alive, each join would make the store reassign the
    // lease.
    const world = new Simulation(true);
    await world.run(LEASE_MS + 500);
    const watcher = new Process('a1', world, true);
    watcher.manager.start();
    await world.run(500);
    const checkVacant = async () => {
      watcher.manager.refreshHolder();
      await world.run(50);
      return watcher.manager.current().isVacant;
    };
    expect(await checkVacant()).toBe(false);
    for (const process of world.processes) process.isFrozen = true;
    await world.run(TTL_MS * 2);
    expect(await checkVacant()).toBe(true);
  });

  it('stops a holder that resumes after another one took over', async () => {
    // The holder is frozen, another process takes over, and the first one
    // resumes in the middle of its work. The monotonic clock stopped for it, so
    // by that clock alone its lease would seem valid, and models would be
    // loaded and unloaded by two holders.
    const world = new Simulation(true);
    await world.run(LEASE_MS + 500);
    const [first] = world.holders();
    first!.isFrozen = true;
    await world.run(4_000);
    first!.resume();
    expect(first!.manager.current().isHolder).toBe(false);
  });

  it('keeps the current holder when the former holder resumes', async () => {
    // The holder is suspended, another process takes over, and the first one
    // resumes. If it rejoined, the store would assign it the lease, and it
    // would have to wait before it may send orders. Adapters have to stay
    // available throughout.
    const world = new Simulation(true);
    await world.run(LEASE_MS + 500);
    const [first] = world.holders();
    first!.isFrozen = true;
    await world.run(LEASE_MS * 2);
    const [second] = world.holders();
    first!.resume();
    await world.run(LEASE_MS, () => expect(world.holders()).toEqual([second]));
    expect(first!.manager.current().holderAddress).toBe(second!.name);
  });

  // Guards against a process that takes the lease back when its connection to
  // the store recovers.
  it.each([true, false])(
    'keeps the current holder when a disconnected process reconnects (fenced: %s)',
    async fenced => {
      const world = new Simulation(fenced);
      await world.run(LEASE_MS + 500);
      const [first] = world.holders();
      world.store.disconnected.add(first!.name);
      await world.run(LEASE_MS * 2 + TTL_MS);
      const second = world.holders().find(p => p !== first);
      expect(second).toBeDefined();
      world.store.disconnected.delete(first!.name);
      await world.run(LEASE_MS * 2, () =>
        expect(world.holders()).toContain(second),
      );
      expect(world.holders()).toEqual([second]);
      expect(first!.manager.current().holderAddress).toBe(second!.name);
    },
  );

  it('keeps the last holder during a store outage if tokens are checked', async () => {
    const fenced = new Simulation(true);
    await fenced.run(LEASE_MS + 500);
    fenced.store.state = 'down';
    await fenced.run(8_000);
    expect(fenced.holders()).toHaveLength(1);
    const unfenced = new Simulation(false);
    await unfenced.run(LEASE_MS + 500);
    unfenced.store.state = 'down';
    await unfenced.run(8_000);
    expect(unfenced.holders()).toHaveLength(0);
  });

  // Guards against permits to retry from two processes that each hold a lease.
  it('counts a lease as expired while its holder goes on without the store', async () => {
    const world = new Simulation(true);
    const unexpired = () =>
      world.processes.filter(({manager}) => manager.current().isUnexpired);
    await world.run(LEASE_MS + 500);
    expect(unexpired()).toEqual(world.holders());
    world.store.state = 'down';
    await world.run(2 * TTL_MS);
    expect(world.holders()).toHaveLength(1);
    expect(unexpired()).toEqual([]);
  });

  // Guards against allowances that each of several holders grants anew.
  it('tells the first holder from all later ones, also if it comes back', async () => {
    const world = new Simulation(true);
    const isFirst = () =>
      world.holders().map(({manager}) => manager.current().isFirst);
    await world.run(LEASE_MS + 500);
    const [first] = world.holders();
    expect(isFirst()).toEqual([true]);
    first!.isFrozen = true;
    await world.run(LEASE_MS * 2);
    expect(isFirst()).toEqual([false]);
    first!.resume();
    await world.run(LEASE_MS);
    for (const process of world.processes) process.isFrozen = process !== first;
    await world.run(TTL_MS * 2);
    first!.manager.setStandby(true);
    await world.run(TTL_MS + LEASE_MS);
    expect(world.holders()).toEqual([first]);
    expect(isFirst()).toEqual([false]);
  });

  it('logs a store outage and the recovery once', async () => {
    const world = new Simulation(true);
    await world.run(LEASE_MS);
    world.store.state = 'down';
    await world.run(4_000);
    world.store.state = 'up';
    await world.run(1_000);
    const events = world.processes[0]!.logger.lines.map(
      line => /event=(\S+)/.exec(line)?.[1],
    ).filter(event => event?.startsWith('lease-renew'));
    expect(events).toEqual(['lease-renewal-failed', 'lease-renewed']);
  });

  it('hands over from a leaving holder to a peer during a store outage', async () => {
    const world = new Simulation(true);
    await world.run(LEASE_MS + 500);
    const [first] = world.holders();
    world.store.state = 'down';
    await world.run(1_000);
    const before = first!.manager.current().fencingToken;
    const released = first!.manager.release();
    await world.run(200);
    await released;
    const [next] = world.holders();
    expect(next?.name).not.toBe(first!.name);
    expect(next!.manager.current().fencingToken).toBeGreaterThan(before);
    // Peers that still query the former holder are told the new one.
    expect(first!.manager.current().holderAddress).toBe(next!.name);
  });

  it('moves to a standby when the holder leaves the group', async () => {
    // The holder is too small for the work and leaves the group in the middle
    // of its orders. Orders continue from another process, which waits until
    // orders of both are one lease apart.
    const world = new Simulation(true);
    await world.run(LEASE_MS + 500);
    const [first] = world.holders();
    for (const {manager} of world.processes) manager.refreshHolder();
    await world.run(100);
    first!.manager.setStandby(false);
    expect(world.holders()).toHaveLength(0);
    await world.run(LEASE_MS - 100);
    expect(world.holders()).toHaveLength(0);
    await world.run(600);
    expect(world.holders()).toHaveLength(1);
    expect(world.holders()).not.toContain(first);
  });

  it('moves to a process that rejoins when no holder is left', async () => {
    // All standbys have failed, and the store can assign the lease to nobody
    // until a process rejoins. Orders have to continue then.
    const world = new Simulation(true);
    await world.run(500);
    const last = world.processes[2]!;
    last.manager.setStandby(false);
    await world.run(LEASE_MS);
    for (const process of world.processes.slice(0, 2)) process.isFrozen = true;
    await world.run(TTL_MS * 3);
    expect(world.holders()).toHaveLength(0);
    last.manager.setStandby(true);
    await world.run(TTL_MS + LEASE_MS);
    expect(world.holders()).toEqual([last]);
  });

  it('keeps orders of two holders one lease apart if tokens are not checked', async () => {
    // A runner would obey both holders. The holder leaves, is killed or goes
    // silent just after an order, and the next one starts, which may be a
    // process that has just started. A leaving holder reports that it has
    // stopped, a killed one doesn't.
    const ends: Array<(p: Process) => void> = [
      p => void p.manager.release(),
      p => (p.isFrozen = true),
      p => p.manager.setStandby(false),
    ];
    for (const end of ends) {
      const world = new Simulation(false);
      await world.run(LEASE_MS * 2 + 500);
      const [first] = world.holders();
      for (const {manager} of world.processes) manager.refreshHolder();
      await world.run(100);
      end(first!);
      let waitedMs = 0;
      while (world.holders().length === 0 && waitedMs < LEASE_MS * 4) {
        await world.run(50);
        waitedMs += 50;
      }
      expect(world.holders()).not.toContain(first);
      expect(waitedMs).toBeGreaterThanOrEqual(LEASE_MS);
    }
  });

  it('waits one lease after a full restart if tokens are not checked', async () => {
    // After a power loss, the new holder knows of no former one, but another VM
    // may have sent orders just before.
    const world = new Simulation(false);
    await world.run(LEASE_MS * 2);
    for (const process of world.processes) process.isFrozen = true;
    await world.run(TTL_MS + 100);
    const next = new Process('p0', world, false);
    world.processes.push(next);
    next.manager.start();
    await world.run(LEASE_MS - 200);
    expect(world.holders()).toHaveLength(0);
    await world.run(500);
    expect(world.holders()).toEqual([next]);
  });

  it('never assigns the same token to two holders', async () => {
    const event = fc.record({
      kind: fc.constantFrom(...EVENTS),
      process: fc.nat({max: 2}),
      afterMs: fc.integer({min: 50, max: 3_000}),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(event, {maxLength: 10}),
        fc.boolean(),
        async (events, fenced) => {
          const world = new Simulation(fenced);
          const holderOf = new Map<number, string>();
          const check = () => {
            for (const {name, manager} of world.holders()) {
              const {fencingToken} = manager.current();
              expect(holderOf.get(fencingToken) ?? name).toBe(name);
              holderOf.set(fencingToken, name);
            }
            // Runners that don't check tokens would obey two holders at a time.
            if (!fenced) expect(world.holders().length).toBeLessThanOrEqual(1);
          };
          const actions: Record<string, (p: Process) => void> = {
            freeze: p => (p.isFrozen = true),
            resume: p => p.resume(),
            down: () => (world.store.state = 'down'),
            up: () => (world.store.state = 'up'),
            disconnect: p => void world.store.disconnected.add(p.name),
            reconnect: p => void world.store.disconnected.delete(p.name),
            'leave-group': p => p.manager.setStandby(false),
            'rejoin-group': p => p.manager.setStandby(true),
            backup: () => world.store.createBackup(),
            restore: () => world.store.restore(),
          };
          for (const {kind, process, afterMs} of events) {
            await world.run(afterMs, check);
            actions[kind]!(world.processes[process]!);
            check();
          }
          await world.run(2_000, check);
        },
      ),
      {numRuns: 80, seed: 11},
    );
  }, 120_000);
});
