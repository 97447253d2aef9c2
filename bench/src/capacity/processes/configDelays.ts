import {type Stack, waitUntil} from '@banyanfold/testing';
import {quantile} from '../../common/quantiles.js';

const CHANGES = 20;
const PAUSE_MS = 500;

/** From the call that appends a change to its being in force. */
export interface ConfigDelays {
  changes: number;
  nodes: number;
  p50Ms: number;
  p95Ms: number;
  maxMs: number;
  /** From that call to the log's answer, for comparison. */
  acceptedP50Ms: number;
}

interface Published {
  version: number;
  sentMs: number;
  acceptedMs: number;
}

/** Publishes some changes and reads from the logs when each node had them. */
export async function measureConfigDelays(
  stack: Stack,
  body: {groups: unknown[]},
): Promise<ConfigDelays> {
  const names = [...stack.entries, ...stack.agents].map(({vmId}) => vmId);
  let version = (await stack.status()).configVersion;
  const changes: Published[] = [];
  for (let change = 0; change < CHANGES; change++) {
    const sentMs = Date.now();
    version = await stack.publish(changed(body, change), version);
    changes.push({version, sentMs, acceptedMs: Date.now()});
    await pause(PAUSE_MS + Math.random() * PAUSE_MS);
  }
  await waitUntil('the last change is in force', () =>
    names.every(name => inForceMs(stack, name, version) !== undefined),
  );
  const delays = changes.flatMap(({version: at, sentMs}) =>
    names.flatMap(name => {
      const whenMs = inForceMs(stack, name, at);
      return whenMs === undefined ? [] : whenMs - sentMs;
    }),
  );
  const accepted = changes.map(({sentMs, acceptedMs}) => acceptedMs - sentMs);
  return {
    changes: CHANGES,
    nodes: names.length,
    p50Ms: quantile(delays, 0.5),
    p95Ms: quantile(delays, 0.95),
    maxMs: Math.max(...delays),
    acceptedP50Ms: quantile(accepted, 0.5),
  };
}

/** A group more or less; it leads nowhere, so placement stays as it is. */
function changed<T extends {groups: unknown[]}>(body: T, change: number): T {
  const labelSelector = {matchLabels: {tier: 'none'}};
  const extra = {name: `extra-${change}`, labelSelector};
  return {...body, groups: [...body.groups, extra]};
}

/** The time of the node's own log line, on this machine's one clock. */
function inForceMs(
  stack: Stack,
  name: string,
  version: number,
): number | undefined {
  const pattern = new RegExp(
    `time=(\\S+) .*event=config-in-force .*version=${version}\\b`,
  );
  for (const line of stack.process(name).lines) {
    const time = pattern.exec(line)?.[1];
    if (time) return Date.parse(time);
  }
  return undefined;
}

function pause(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
