import {sendRequest} from '@banyanfold/platform/standins';
import type {EntryProcess} from './entryProcess.js';
import type {AddedRoute, FaultContext} from './faults.js';
import type {ConfigProbe} from './soakRecord.js';
import {pause} from './pause.js';

const PROBE_INTERVAL_MS = 250;
const PROBE_DEADLINE_MS = 1_000;
const SERVED = 200;
const NO_SUCH_ROUTE = 404;

/** Asks every entry, all the while, for the route that was added last. */
export class ConfigProber {
  readonly probes: ConfigProbe[] = [];
  private isStopped = false;
  private running: Promise<void> | undefined;

  constructor(private readonly context: FaultContext) {}

  start(): void {
    this.running = this.run();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await this.running;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      const {system, addedRoutes} = this.context;
      const added = addedRoutes.at(-1);
      if (added) {
        const asked = system.entries.map(({process}) =>
          this.probe(process, added),
        );
        await Promise.all(asked);
      }
      await pause(PROBE_INTERVAL_MS);
    }
  }

  private async probe(process: EntryProcess, added: AddedRoute): Promise<void> {
    const entryStart = process.starts;
    const askedMs = performance.now();
    const {status} = await sendRequest({
      port: process.callersPort,
      route: added.name,
      id: `probe-${process.name}-${Math.round(askedMs)}`,
      headers: {'deadline-ms': String(PROBE_DEADLINE_MS)},
    });
    // Any other status says nothing of the configuration.
    if (status !== SERVED && status !== NO_SUCH_ROUTE) return;
    if (process.starts !== entryStart) return;
    this.probes.push({
      entry: process.name,
      entryStart,
      route: added.name,
      addedMs: added.atMs,
      askedMs,
      isKnown: status === SERVED,
    });
  }
}
