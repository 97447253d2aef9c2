import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  HEADERS,
  createAgentRouter,
  createControlHandler,
  ReportHistory,
  type AgentReport,
  type Proposal,
  type ReportCursor,
  type SealResult,
} from '@banyanfold/protocol';
import type {Vm} from '@banyanfold/log';
import {answerWhole} from './behaviours.js';

export const INTERNAL_KEY = 'internal';
const COPY_BYTES = 1_000_000;

/** One call of an entry, as received by the fake agent. */
export interface AttemptCall {
  agent: FakeAgent;
  attemptId: string;
  requestId: string;
  /** For a resumed stream: the number of the last received event. */
  afterSeq: number | undefined;
  isStream: boolean;
  path: string;
  headers: IncomingMessage['headers'];
  res: ServerResponse;
  socket: Socket;
}

/** How the fake agent handles a call. */
export type Behaviour = (call: AttemptCall) => void;

/** An agent without an engine whose behaviour the test controls. */
export class FakeAgent {
  /** Behaviours of the next calls, in order; then `fallback` applies. */
  next: Behaviour[] = [];
  /** Behaviours of the next calls that resume a stream. */
  nextResumes: Behaviour[] = [];
  fallback: Behaviour = answerWhole;
  sealState: SealResult['state'] = 'started';
  incarnation = 7;
  leaving = false;
  artifacts = ['claims@1'];
  /** Agents of earlier releases don't report it. */
  maxRunning: number | undefined;
  readonly calls: AttemptCall[] = [];
  readonly resumes: AttemptCall[] = [];
  readonly sealed: string[] = [];
  readonly proposals: Proposal[] = [];
  /** The cursors that entries sent, one for each report request. */
  readonly cursors: Array<ReportCursor | undefined> = [];
  /** The number of requests that were run, without resumed calls. */
  ran = 0;
  /** Reports are delayed until it resolves. */
  reportGate: Promise<void> = Promise.resolve();
  port = 0;
  private sequence = 0;
  private readonly history = new ReportHistory();
  private readonly server: http.Server;

  constructor(
    readonly vmId: string,
    private readonly failureDomain = 'a',
  ) {
    const router = createAgentRouter({
      report: async () => {
        await this.reportGate;
        return this.report();
      },
      reportSince: async cursor => {
        this.cursors.push(cursor);
        await this.reportGate;
        return this.history.answer(this.report(), cursor);
      },
      seal: async attemptId => {
        this.sealed.push(attemptId);
        return {state: this.sealState};
      },
      propose: async proposal => this.propose(proposal),
      drain: async () => ({running: 0}),
    });
    const control = createControlHandler({router, keys: [INTERNAL_KEY]});
    this.server = http.createServer((req, res) => {
      if (req.url?.startsWith('/trpc')) control(req, res);
      else this.handleCall(req, res);
    });
  }

  async start(port = 0): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    const address = this.server.address();
    if (typeof address === 'object' && address) this.port = address.port;
  }

  async stop(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }

  vm(state: Vm['state'] = 'live'): Vm {
    const {vmId, port, failureDomain} = this;
    const host = '127.0.0.1';
    return {vmId, role: 'agent', host, port, failureDomain, region: 'r', state};
  }

  digest() {
    return {
      incarnation: this.incarnation,
      sequence: ++this.sequence,
      running: 0,
      queued: 0,
      kvUsedBytes: 0,
      kvCapacityBytes: 1_000_000,
      queueDelayMs: 0,
      leaving: this.leaving,
    };
  }

  private report(): AgentReport {
    return {
      ...this.digest(),
      vmId: this.vmId,
      failureDomain: this.failureDomain,
      region: 'r',
      runnerRole: '',
      configVersion: 1,
      memoryCapacityBytes: 10 * COPY_BYTES,
      memoryFreeBytes: (10 - this.artifacts.length) * COPY_BYTES,
      checksFencing: true,
      copies: this.artifacts.map(artifact => ({
        artifact,
        bytes: COPY_BYTES,
        state: 'held' as const,
        copyId: `${this.vmId}/${artifact}`,
        idleMs: 0,
      })),
      services: ['lodging'],
      maxRunning: this.maxRunning,
      servedCount: {},
      cachedPrefixes: [],
    };
  }

  private propose(proposal: Proposal) {
    this.proposals.push(proposal);
    if (proposal.kind === 'load') this.artifacts.push(proposal.artifact);
    return {accepted: true, reason: 'reserved'};
  }

  private handleCall(req: IncomingMessage, res: ServerResponse): void {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => {
      const call = this.parseCall(req, res, Buffer.concat(chunks).toString());
      const isResume = req.method === 'GET';
      (isResume ? this.resumes : this.calls).push(call);
      const queue = isResume ? this.nextResumes : this.next;
      (queue.shift() ?? this.fallback)(call);
    });
  }

  private parseCall(
    req: IncomingMessage,
    res: ServerResponse,
    body: string,
  ): AttemptCall {
    const path = req.url!.slice('/attempt/'.length);
    const isResume = req.method === 'GET';
    return {
      agent: this,
      attemptId: isResume ? path : String(req.headers[HEADERS.attemptId]),
      requestId: String(req.headers[HEADERS.requestId]),
      afterSeq: isResume ? Number(req.headers['last-event-id']) : undefined,
      isStream: isResume || body.includes('"stream":true'),
      path,
      headers: req.headers,
      res,
      socket: req.socket,
    };
  }
}
