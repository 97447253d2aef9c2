import {timeoutSignal} from '@banyanfold/core';
import {createTRPCClient, httpLink, TRPCClientError} from '@trpc/client';
import {Agent, fetch, type Dispatcher} from 'undici';
import type {
  AgentReport,
  AgentRouter,
  ReportChanges,
  ReportCursor,
} from './agentContract.js';
import type {EntryRouter} from './entryContract.js';
import {PATHS} from './headers.js';

/** Address and credentials of a peer's control interface. */
export interface ControlClientOptions {
  host: string;
  port: number;
  internalKey: string;
  timeoutMs?: number;
  dispatcher?: Dispatcher;
}

const DEFAULT_TIMEOUT_MS = 2000;
/** A full report of an agent has a row for each copy and cached prefix. */
const MAX_RESPONSE_BYTES = 16_777_216;

let defaultDispatcher: Dispatcher | undefined;

/** Created with the first client: processes that have none need no agent. */
function sharedDispatcher(): Dispatcher {
  defaultDispatcher ??= new Agent({maxResponseSize: MAX_RESPONSE_BYTES});
  return defaultDispatcher;
}

function controlLink(options: ControlClientOptions) {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const fetchWithTimeout = (url: unknown, init: unknown) =>
    fetch(String(url), {
      ...(init as object),
      dispatcher: options.dispatcher ?? sharedDispatcher(),
      signal: timeoutSignal(timeoutMs),
    } as Parameters<typeof fetch>[1]);
  return httpLink({
    url: `http://${options.host}:${options.port}${PATHS.trpc}`,
    headers: {authorization: `Bearer ${options.internalKey}`},
    fetch: fetchWithTimeout as unknown as typeof globalThis.fetch,
  });
}

/**
 * Creates a client for an agent's control interface.
 *
 * @example await createAgentClient({host, port, internalKey}).report.query()
 */
export function createAgentClient(options: ControlClientOptions) {
  return createTRPCClient<AgentRouter>({links: [controlLink(options)]});
}

/** Creates a client for an entry's control interface. */
export function createEntryClient(options: ControlClientOptions) {
  return createTRPCClient<EntryRouter>({links: [controlLink(options)]});
}

export type AgentClient = ReturnType<typeof createAgentClient>;
export type EntryClient = ReturnType<typeof createEntryClient>;

/**
 * Fetches the changes since the held report, or the full report if none is
 * held. An agent of an earlier release lacks this procedure, so its full
 * report is fetched instead. A release can therefore be rolled out in any
 * order.
 *
 * @example const answer = await fetchReport(client, agent.reportCursor())
 */
export async function fetchReport(
  client: AgentClient,
  held: ReportCursor | undefined,
): Promise<AgentReport | ReportChanges> {
  try {
    return await client.reportSince.query(held);
  } catch (error) {
    if (!isUnknownProcedure(error)) throw error;
    return client.report.query();
  }
}

/** Whether a call failed because the peer's release lacks the procedure. */
export function isUnknownProcedure(error: unknown): boolean {
  if (!(error instanceof TRPCClientError)) return false;
  const data: unknown = error.data;
  const code = (data as {code?: unknown} | undefined)?.code;
  return code === 'NOT_FOUND';
}
