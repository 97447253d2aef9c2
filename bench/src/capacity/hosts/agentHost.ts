import {createAgent} from '@banyanfold/agent';
import {domainOf, regionOf} from '../fixtures.js';
import type {AgentHostOptions, HostAnswer} from './hostMessages.js';

const HOST = '127.0.0.1';

/** The real agent, beside the stand-ins of an engine and of the log. */
export async function startAgentHost(
  options: AgentHostOptions,
): Promise<HostAnswer> {
  const agent = createAgent({
    vmId: 'agent-under-measurement',
    host: HOST,
    port: 0,
    region: regionOf(0),
    failureDomain: domainOf(0),
    internalKey: options.internalKey,
    engine: {url: `http://${HOST}:${options.enginePort}`, checksFencing: true},
    platform: {logUrl: `http://${HOST}:${options.logPort}`},
    reportIntervalMs: options.reportIntervalMs,
  });
  return agent.start();
}
