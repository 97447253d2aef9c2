import {createServer} from 'node:http';
import {
  fetchReport,
  createAgentClient,
  createAgentRouter,
  createControlHandler,
  ReportHistory,
  type AgentReport,
  type ReportCursor,
} from '@banyanfold/protocol';
import {startRelay} from './countingRelay.js';
import {prefixHash, reportOf} from './fixtures.js';

const HOST = '127.0.0.1';
const KEY = 'bench-internal-key';
const POLLS = 50;
const PREFIXES = 256;

/** What the agent does between two polls. */
interface Change {
  name: string;
  apply(report: AgentReport, poll: number): void;
}

const CHANGES: Change[] = [
  {name: 'nothing', apply: () => undefined},
  {name: '4 requests, no new prefix', apply: report => serve(report, 4)},
  {
    name: '4 requests, 4 new prefixes',
    apply: (report, poll) => {
      serve(report, 4);
      cachePrefixes(report, 4, poll);
    },
  },
  {
    name: 'a copy replaced',
    apply: (report, poll) => {
      report.copies[0]!.copyId = `agent/copy#${poll}`;
    },
  },
];

/** Bytes of one exchange, both ways, for each thing that can change. */
export interface ReportExchange {
  change: string;
  wholeBytes: number;
  sinceBytes: number;
}

/** Compares whole reports with those that carry what changed. */
export async function reportExchanges(): Promise<ReportExchange[]> {
  const exchanges: ReportExchange[] = [];
  for (const change of CHANGES) {
    exchanges.push({
      change: change.name,
      wholeBytes: await bytesPerPoll(change, 'whole'),
      sinceBytes: await bytesPerPoll(change, 'since'),
    });
  }
  return exchanges;
}

async function bytesPerPoll(
  change: Change,
  kind: 'whole' | 'since',
): Promise<number> {
  const report = reportOf(1, {prefixes: PREFIXES});
  const history = new ReportHistory();
  const unused = () => Promise.reject(new Error('not served here'));
  const router = createAgentRouter({
    report: async () => report,
    reportSince: async cursor => history.answer(report, cursor),
    seal: unused,
    propose: unused,
    drain: unused,
  });
  const server = createServer(createControlHandler({router, keys: [KEY]}));
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const address = server.address();
  const targetPort = typeof address === 'object' && address ? address.port : 0;
  const relay = await startRelay(targetPort);
  const {port} = relay;
  const client = createAgentClient({host: HOST, port, internalKey: KEY});
  let held: ReportCursor | undefined;
  const poll = async () => {
    const answer = await (kind === 'whole'
      ? client.report.query()
      : fetchReport(client, held));
    const {incarnation, sequence} = answer;
    held = {incarnation, sequence};
  };
  try {
    await poll();
    relay.takeBytes();
    for (let done = 0; done < POLLS; done++) {
      report.sequence++;
      change.apply(report, done);
      await poll();
    }
    return relay.takeBytes() / POLLS;
  } finally {
    relay.stop();
    server.close();
    server.closeAllConnections();
  }
}

function serve(report: AgentReport, requests: number): void {
  const artifacts = Object.keys(report.servedCount).slice(0, requests);
  for (const artifact of artifacts) report.servedCount[artifact]!++;
}

function cachePrefixes(report: AgentReport, added: number, poll: number): void {
  const hashes = Array.from({length: added}, (_, nth) =>
    prefixHash(1, PREFIXES + poll * added + nth),
  );
  const kept = report.cachedPrefixes.slice(0, PREFIXES - added);
  report.cachedPrefixes = [...hashes, ...kept];
}
