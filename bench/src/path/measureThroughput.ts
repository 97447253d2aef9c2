import {processTimeMs} from '../common/processTime.js';
import {timedStream, type StreamTarget} from './timedStream.js';

/** Processor time that entry and agent spend, under a closed loop. */
export interface Throughput {
  requests: number;
  incomplete: number;
  requestsPerSecond: number;
  entryMsPerRequest: number;
  agentMsPerRequest: number;
  requestsPerSecondPerCore: number;
}

const MS_PER_SECOND = 1000;

/** Keeps `concurrency` requests open for `durationMs`. */
export async function measureThroughput(
  target: StreamTarget,
  options: {
    concurrency: number;
    durationMs: number;
    entryPid: number;
    agentPid: number;
  },
): Promise<Throughput> {
  const startMs = performance.now();
  const entryStartMs = processTimeMs(options.entryPid);
  const agentStartMs = processTimeMs(options.agentPid);
  let requests = 0;
  let incomplete = 0;
  const loop = async (): Promise<void> => {
    while (performance.now() - startMs < options.durationMs) {
      const {complete} = await timedStream({
        ...target,
        prompt: `${target.prompt} ${requests}`,
      });
      requests++;
      if (!complete) incomplete++;
    }
  };
  await Promise.all(Array.from({length: options.concurrency}, loop));
  const elapsedMs = performance.now() - startMs;
  const entryMs = processTimeMs(options.entryPid) - entryStartMs;
  const agentMs = processTimeMs(options.agentPid) - agentStartMs;
  return {
    requests,
    incomplete,
    requestsPerSecond: (requests / elapsedMs) * MS_PER_SECOND,
    entryMsPerRequest: entryMs / requests,
    agentMsPerRequest: agentMs / requests,
    requestsPerSecondPerCore: (requests / (entryMs + agentMs)) * MS_PER_SECOND,
  };
}
