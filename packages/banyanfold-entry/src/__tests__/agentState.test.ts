import type {AgentReport} from '@banyanfold/protocol';
import type {Vm} from '@banyanfold/log';
import {describe, expect, it} from 'vitest';
import {AgentState} from '../view/agentState.js';

const VM: Vm = {
  vmId: 'agent-1',
  role: 'agent',
  host: '127.0.0.1',
  port: 1,
  failureDomain: 'a',
  region: 'r',
  state: 'live',
};

function digest(sequence: number, queued: number, incarnation = 1) {
  return {
    incarnation,
    sequence,
    queued,
    running: 0,
    kvUsedBytes: 0,
    kvCapacityBytes: 1,
    queueDelayMs: 0,
    leaving: false,
  };
}

function report(
  sequence: number,
  artifact: string,
  incarnation = 1,
): AgentReport {
  return {
    ...digest(sequence, 0, incarnation),
    vmId: 'agent-1',
    failureDomain: 'a',
    region: 'r',
    runnerRole: '',
    configVersion: 1,
    memoryCapacityBytes: 1,
    memoryFreeBytes: 1,
    checksFencing: true,
    copies: [{artifact, bytes: 1, state: 'held', copyId: 'c', idleMs: 0}],
    services: [],
    servedCount: {},
    cachedPrefixes: [],
  };
}

describe('AgentState', () => {
  // An agent that restarts while the log is unavailable serves under a
  // provisional, negative incarnation. If that counts as older than its
  // predecessor's, its reports are dropped, and all requests are sent to the
  // predecessor's incarnation and refused until the log is available again.
  it('accepts reports of a restarted agent with a provisional incarnation', () => {
    const agent = new AgentState(VM);
    agent.applyReport(report(5, 'old@1', 7), 10);
    agent.applyReport(report(1, 'new@1', -42), 20);
    expect(agent.incarnation).toBe(-42);
    expect([...agent.runner.artifacts]).toEqual(['new@1']);
    agent.applyReport(report(6, 'old@1', 7), 30);
    expect(agent.incarnation).toBe(-42);
    agent.applyReport(report(2, 'new@1', 9), 40);
    expect(agent.incarnation).toBe(9);
    agent.applyReport(report(3, 'new@1', -42), 50);
    expect(agent.incarnation).toBe(9);
  });

  // An agent receives its incarnation from the log, and a response carries it
  // to the entry before the next poll. The copies of the agent are unchanged.
  it('keeps the copies of an agent that receives its incarnation', () => {
    const agent = new AgentState(VM);
    agent.applyReport(report(1, 'a@1', -42), 10);
    agent.applyDigest(digest(2, 0, 9), 20);
    expect(agent.incarnation).toBe(9);
    expect([...agent.runner.artifacts]).toEqual(['a@1']);
  });

  it('routes by the number of slots that the runner reports', () => {
    const agent = new AgentState(VM);
    agent.applyReport({...report(1, 'a@1'), maxRunning: 3}, 10);
    expect(agent.runner.maxRunning).toBe(3);
  });

  it('ignores a digest that arrives late', () => {
    const agent = new AgentState(VM);
    agent.applyDigest(digest(2, 9), 10);
    agent.applyDigest(digest(1, 0), 20);
    expect(agent.runner.queued).toBe(9);
  });

  // Almost every report of a busy agent is overtaken by a newer digest. The
  // entry must still apply its copies, or the agent would get no requests.
  it('applies the copies of a report that a newer digest overtook', () => {
    const agent = new AgentState(VM);
    agent.applyDigest(digest(5, 9), 10);
    agent.applyReport(report(4, 'claims@1'), 20);
    expect([...agent.runner.artifacts]).toEqual(['claims@1']);
    expect(agent.runner.queued).toBe(9);
  });

  it('ignores a report older than the stored one', () => {
    const agent = new AgentState(VM);
    agent.applyReport(report(4, 'claims@1'), 10);
    agent.applyReport(report(3, 'claims@0'), 20);
    expect([...agent.runner.artifacts]).toEqual(['claims@1']);
  });

  // After a restart of the agent, its earlier copies may be gone, and an
  // attempt addressed to the earlier incarnation would be refused.
  it('drops the copies of an earlier incarnation', () => {
    const agent = new AgentState(VM);
    agent.applyReport(report(40, 'claims@1'), 10);
    agent.applyDigest(digest(1, 0, 2), 20);
    agent.applyReport(report(41, 'claims@1'), 30);
    expect([...agent.runner.artifacts]).toEqual([]);
    expect(agent.incarnation).toBe(2);
  });

  // The VM list may lag behind the agent, or the agent behind the list.
  it.each([
    ['the list', true, false],
    ['the agent', false, true],
  ])('is leaving as soon as %s reports it', (_name, byList, byAgent) => {
    const agent = new AgentState(VM);
    agent.setVm({...VM, state: byList ? 'leaving' : 'live'});
    agent.applyDigest({...digest(1, 0), leaving: byAgent}, 10);
    expect(agent.runner.leaving).toBe(true);
  });

  it('counts its own requests until a digest includes them', () => {
    const agent = new AgentState(VM);
    agent.attemptSent('a');
    agent.attemptSent('b');
    agent.attemptEnded('a');
    expect(agent.runner.ownUnreported).toBe(1);
    agent.applyDigest(digest(1, 0), 10);
    expect(agent.runner.ownUnreported).toBe(0);
  });
});
