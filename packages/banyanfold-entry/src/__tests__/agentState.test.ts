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
  // An agent restarts while the log is out and serves under a provisional,
  // negative incarnation. Taken for older than its predecessor's, its reports
  // were dropped, and every request went to the predecessor's incarnation and
  // was refused: its models were out of reach until the log was back.
  it('takes the reports of a successor without a number yet', () => {
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

  // An agent gets its number from the log, and an answer brings word of it
  // before the next poll does. Its copies are as they were.
  it('keeps the copies of a process that gets its number', () => {
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

  it('ignores a digest that an answer brought late', () => {
    const agent = new AgentState(VM);
    agent.applyDigest(digest(2, 9), 10);
    agent.applyDigest(digest(1, 0), 20);
    expect(agent.runner.queued).toBe(9);
  });

  // At a busy agent a newer digest overtakes almost every report. Its copies
  // are news all the same; without them the agent would get no work at all.
  it('takes the copies of a report that a newer digest overtook', () => {
    const agent = new AgentState(VM);
    agent.applyDigest(digest(5, 9), 10);
    agent.applyReport(report(4, 'claims@1'), 20);
    expect([...agent.runner.artifacts]).toEqual(['claims@1']);
    expect(agent.runner.queued).toBe(9);
  });

  it('ignores a report older than the one it has', () => {
    const agent = new AgentState(VM);
    agent.applyReport(report(4, 'claims@1'), 10);
    agent.applyReport(report(3, 'claims@0'), 20);
    expect([...agent.runner.artifacts]).toEqual(['claims@1']);
  });

  // A new process came up beside the server. What the old one held isn't known
  // to be there, and an attempt for the old one would be refused.
  it('forgets the copies of an earlier incarnation', () => {
    const agent = new AgentState(VM);
    agent.applyReport(report(40, 'claims@1'), 10);
    agent.applyDigest(digest(1, 0, 2), 20);
    agent.applyReport(report(41, 'claims@1'), 30);
    expect([...agent.runner.artifacts]).toEqual([]);
    expect(agent.incarnation).toBe(2);
  });

  // The VM list lags behind the agent, or the agent behind the list.
  it.each([
    ['the list', true, false],
    ['the agent', false, true],
  ])('is leaving as soon as %s says so', (_name, byList, byAgent) => {
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
