import {createEntryClient} from '@banyanfold/protocol';
import {afterEach, describe, expect, it} from 'vitest';
import {
  STACK_KEYS,
  Stack,
  modelsOf,
  testConfig,
  waitUntil,
  type StackOptions,
} from '../index.js';

const WATCH_MS = 20;
const PUBLISHES = 8;

let stack: Stack;
let watcher: VersionWatch | undefined;

afterEach(async () => {
  watcher?.stop();
  await stack.end();
});

/**
 * Reads the versions that all processes report, as fast as they answer.
 *
 * Answers of one process overtake each other on their connections, so a
 * version only counts as a step back from one that was seen before its
 * question was sent.
 */
class VersionWatch {
  /** Each step back that was seen, in words. */
  readonly reverts: string[] = [];
  private readonly newest = new Map<string, number>();
  private readonly timer: NodeJS.Timeout;

  constructor() {
    this.timer = setInterval(() => this.look(), WATCH_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private look(): void {
    stack.entries.forEach(({vmId, port}) => {
      const seenBefore = this.newest.get(vmId) ?? 0;
      const client = createEntryClient({
        host: '127.0.0.1',
        port,
        internalKey: STACK_KEYS.operator,
      });
      // Until it is ready an entry serves nobody by what it has.
      void client.status.query().then(
        ({ready, configVersion}) => {
          if (ready) this.note(vmId, configVersion, seenBefore);
        },
        () => undefined,
      );
    });
  }

  private note(vmId: string, version: number, seenBefore: number): void {
    const newest = this.newest.get(vmId) ?? 0;
    if (version < seenBefore) {
      this.reverts.push(`${vmId} from ${seenBefore} to ${version}`);
    }
    this.newest.set(vmId, Math.max(newest, version));
  }
}

async function start(options: Partial<StackOptions> = {}): Promise<void> {
  stack = await Stack.start({
    entries: 3,
    agents: 2,
    published: config(0),
    ...options,
  });
}

function config(number: number) {
  return testConfig({
    models: modelsOf(['claims'], '1'),
    wholeAnswerMs: 30_000 + number,
  });
}

/** The version in force at each process that runs, agents included. */
async function versions(): Promise<number[]> {
  const entries = stack.entries.map(async (_, index) => {
    const {configVersion, ready} = await stack.status(index);
    return ready ? configVersion : 0;
  });
  const agents = stack.agents.map(async (_, index) => {
    return (await stack.agentReport(index)).configVersion;
  });
  return Promise.all(
    [...entries, ...agents].map(version => version.catch(() => 0)),
  );
}

async function inForceEverywhere(version: number): Promise<void> {
  await waitUntil(`version ${version} is in force everywhere`, async () => {
    return (await versions()).every(known => known === version);
  });
}

/** Two operators publish at once, both on the version in force. */
async function publishRacing(number: number, base: number): Promise<number> {
  const offsets = await Promise.all([
    stack.publish(config(2 * number), base),
    stack.publish(config(2 * number + 1), base),
  ]);
  // The one that the log has first is accepted; the other is void.
  return Math.min(...offsets);
}

function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}

describe('an accepted configuration', () => {
  // Operators see one of two racing publishes accepted, in force on each entry
  // and agent soon after, and never an older one again. Meanwhile each process
  // is killed and started again; one that has forgotten all takes the newest of
  // its peers and the log before it is ready.
  it('is in force everywhere and never reverts', async () => {
    await start();
    watcher = new VersionWatch();
    const tookMs: number[] = [];
    let base = (await stack.status()).configVersion;
    const names = [...stack.entries, ...stack.agents].map(({vmId}) => vmId);
    for (let number = 1; number <= PUBLISHES; number++) {
      const name = names[number % names.length] ?? '';
      if (number > 2) await stack.kill(name);
      const startMs = performance.now();
      base = await publishRacing(number, base);
      const others = names.filter(other => other !== name || number <= 2);
      await waitUntil('the others have it', async () => {
        const known = await versions();
        return others.every(other => known[names.indexOf(other)] === base);
      });
      tookMs.push(performance.now() - startMs);
      if (number > 2) await stack.restart(name);
      await inForceEverywhere(base);
    }
    console.log(
      `from publish to in force: p50 ${percentile(tookMs, 0.5).toFixed(0)} ms,` +
        ` max ${percentile(tookMs, 1).toFixed(0)} ms, ${tookMs.length} times`,
    );
    expect(watcher.reverts).toEqual([]);
  });

  // Operators see the accepted version stay while the log is out. An entry is
  // killed and starts again without the log: it serves by its peers' version,
  // which is the newest that could be accepted.
  it('stays in force through an outage of the log', async () => {
    await start({entry: {configLogWaitMs: 300}});
    watcher = new VersionWatch();
    const version = await stack.publish(config(1), 1);
    await inForceEverywhere(version);
    await stack.setFaults('log', {outage: 'cut'});
    await stack.kill('entry-2');
    await stack.restart('entry-2');
    await waitUntil('it is ready again', async () => {
      return (await stack.status(1)).ready;
    });
    expect((await stack.status(1)).configVersion).toBe(version);
    await stack.setFaults('log', {outage: 'none'});
    const next = await stack.publish(config(2), version);
    await inForceEverywhere(next);
    expect(watcher.reverts).toEqual([]);
  });

  // Operators see the version that they published long ago. The log forgets its
  // record; the checkpoint that the entries append in time carries it on, and
  // a VM that starts after that takes the version from there. All processes
  // have been replaced by then, one after another.
  it('outlives its record in the log', async () => {
    await start({
      log: {retentionMs: 38_000},
      // The shortest that entries take; a checkpoint is due at half of it.
      entry: {logRetentionMs: 60_600, keyHorizonMs: 500},
    });
    watcher = new VersionWatch();
    const version = await stack.publish(config(1), 1);
    await inForceEverywhere(version);
    await waitUntil('the log has forgotten its record', async () => {
      return (await stack.firstOffset('config')) > version;
    });
    for (const {vmId} of stack.entries) {
      await stack.kill(vmId);
      await stack.restart(vmId);
      await stack.ready();
    }
    for (const {vmId} of stack.agents) {
      await stack.kill(vmId);
      await stack.restart(vmId);
    }
    await inForceEverywhere(version);
    const next = await stack.publish(config(2), version);
    await inForceEverywhere(next);
    expect(watcher.reverts).toEqual([]);
  }, 120_000);
});
