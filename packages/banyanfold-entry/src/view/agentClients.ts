import {createAgentClient, type AgentClient} from '@banyanfold/protocol';
import type {EntrySettings} from '../settings.js';
import type {AgentState} from './agentState.js';

/** Creates and caches the control clients of agents, one per address. */
export class AgentClients {
  private readonly clients = new Map<string, AgentClient>();

  constructor(
    private readonly settings: EntrySettings,
    private readonly timeoutMs: number,
  ) {}

  clientFor(agent: AgentState): AgentClient {
    const {host, port} = agent.vm;
    const address = `${host}:${port}`;
    let client = this.clients.get(address);
    if (!client) {
      const {internalKey} = this.settings;
      client = createAgentClient({
        host,
        port,
        internalKey,
        timeoutMs: this.timeoutMs,
      });
      this.clients.set(address, client);
    }
    return client;
  }
}
