import {startLogOutput} from '@banyanfold/core';
import {collectGarbage} from '../measure.js';
import {startAgentHost} from './agentHost.js';
import {startEntryHost} from './entryHost.js';
import type {HostAnswer, HostRequest, HostSample} from './hostMessages.js';
import {startPeers} from './peers.js';

const served: Record<string, number> = {};

type Handlers = {
  [K in HostRequest['kind']]: (
    request: Extract<HostRequest, {kind: K}>,
  ) => Promise<HostAnswer>;
};

const HANDLERS: Handlers = {
  'start-peers': ({options}) => startPeers(options, served),
  'start-entry': ({options}) => startEntryHost(options),
  'start-agent': ({options}) => startAgentHost(options),
  sample: async ({collect}) => ({port: 0, sample: takeSample(collect)}),
};

function takeSample(collect: boolean): HostSample {
  const {user, system} = process.cpuUsage();
  if (collect) collectGarbage();
  const {rss, heapUsed} = process.memoryUsage();
  return {
    cpuUs: user + system,
    rssBytes: rss,
    heapBytes: heapUsed,
    served: {...served},
  };
}

startLogOutput();
process.on('disconnect', () => process.exit(0));
process.on('message', async message => {
  const {id, request} = message as {id: number; request: HostRequest};
  try {
    const handle = HANDLERS[request.kind] as (
      request: HostRequest,
    ) => Promise<HostAnswer>;
    process.send?.({id, answer: await handle(request)});
  } catch (error) {
    process.send?.({id, error: String(error)});
  }
});
