import {createEntry} from '@banyanfold/entry';
import {domainOf, regionOf} from '../fixtures.js';
import type {EntryHostOptions, HostAnswer} from './hostMessages.js';

const HOST = '127.0.0.1';

/** The real entry, before peers that answer as agents do. */
export async function startEntryHost(
  options: EntryHostOptions,
): Promise<HostAnswer> {
  const entry = createEntry({
    vmId: 'entry-under-measurement',
    host: HOST,
    port: 0,
    region: regionOf(0),
    failureDomain: domainOf(0),
    internalKey: options.internalKey,
    operatorKey: 'bench-operator-key',
    platform: {
      logUrl: `http://${HOST}:${options.logPort}`,
      vmListUrl: `http://${HOST}:${options.vmListPort}`,
    },
    callers: [{name: 'counter', key: options.callerKey, maxConcurrent: 2_000}],
    reportIntervalMs: options.reportIntervalMs,
    reportTimeoutMs: 5_000,
    vmListIntervalMs: options.vmListIntervalMs,
    planner: {enabled: false},
  });
  return entry.start();
}
