import {
  ReportHistory,
  type AgentReport,
  type ReportChanges,
} from '@banyanfold/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {AgentState} from '../view/agentState.js';

type Answer = AgentReport | ReportChanges;

/** A simulated agent; a restart clears its lists and counters. */
class ReportingAgent {
  incarnation = 1;
  sequence = 0;
  copies: string[] = [];
  prefixes: string[] = [];
  served: Record<string, number> = {};
  history = new ReportHistory();

  restart(): void {
    this.incarnation++;
    this.sequence = 0;
    this.copies = [];
    this.prefixes = [];
    this.served = {};
    this.history = new ReportHistory();
  }

  currentReport(): AgentReport {
    return {
      incarnation: this.incarnation,
      sequence: ++this.sequence,
      running: 0,
      queued: 0,
      kvUsedBytes: 0,
      kvCapacityBytes: 1,
      queueDelayMs: 0,
      leaving: false,
      vmId: 'agent-1',
      failureDomain: 'a',
      region: 'r',
      runnerRole: '',
      configVersion: 1,
      memoryCapacityBytes: 9,
      memoryFreeBytes: 9 - this.copies.length,
      checksFencing: true,
      copies: this.copies.map(artifact => ({
        artifact,
        bytes: 1,
        state: 'held' as const,
        copyId: artifact,
        idleMs: this.sequence,
      })),
      services: ['lodging'],
      servedCount: {...this.served},
      cachedPrefixes: [...this.prefixes],
    };
  }

  answerFor(entry: AgentState): Answer {
    return this.history.answer(this.currentReport(), entry.reportCursor());
  }
}

function createAgentState(): AgentState {
  return new AgentState({
    vmId: 'agent-1',
    role: 'agent',
    host: '127.0.0.1',
    port: 1,
    failureDomain: 'a',
    region: 'r',
    state: 'live',
  });
}

function toggle(list: string[], item: string): string[] {
  return list.includes(item)
    ? list.filter(other => other !== item)
    : [item, ...list];
}

function expectUpToDate(entry: AgentState, agent: ReportingAgent): void {
  expect([...entry.runner.artifacts].sort()).toEqual(
    [...agent.copies, 'lodging'].sort(),
  );
  expect([...entry.runner.cachedPrefixes].sort()).toEqual(
    [...agent.prefixes].sort(),
  );
  expect(entry.report?.servedCount).toEqual(agent.served);
  expect(entry.report?.copies.map(copy => copy.artifact)).toEqual(agent.copies);
}

const name = fc.constantFrom('x', 'y', 'z');
const step = fc.oneof(
  fc.record({kind: fc.constant('copy' as const), name}),
  fc.record({kind: fc.constant('prefix' as const), name}),
  fc.record({kind: fc.constant('serve' as const), name}),
  fc.record({kind: fc.constant('restart' as const)}),
  fc.record({kind: fc.constant('digest' as const), entry: fc.nat(1)}),
  fc.record({kind: fc.constant('ask' as const), entry: fc.nat(1)}),
  // Delivers any earlier answer to any entry: late, repeated or out of order.
  fc.record({
    kind: fc.constant('arrive' as const),
    nth: fc.nat(40),
    entry: fc.nat(1),
  }),
);

describe('ReportHistory and AgentState', () => {
  // Two entries poll one agent. Answers are lost, duplicated, delayed,
  // reordered and delivered to the wrong entry, and the agent restarts in
  // between. If an entry kept a copy that is gone, attempts would be refused
  // until the copies of the agent change again.
  it('converges to the current report after one undisturbed answer', () => {
    const property = fc.property(fc.array(step, {maxLength: 60}), steps => {
      const agent = new ReportingAgent();
      const entries = [createAgentState(), createAgentState()];
      const answers: Answer[] = [];
      for (const each of steps) {
        if (each.kind === 'copy') {
          agent.copies = toggle(agent.copies, each.name);
        } else if (each.kind === 'prefix') {
          agent.prefixes = toggle(agent.prefixes, each.name);
        } else if (each.kind === 'serve') {
          agent.served[each.name] = (agent.served[each.name] ?? 0) + 1;
        } else if (each.kind === 'restart') {
          agent.restart();
        } else if (each.kind === 'digest') {
          entries[each.entry]!.applyDigest(agent.currentReport(), 0);
        } else if (each.kind === 'ask') {
          answers.push(agent.answerFor(entries[each.entry]!));
        } else {
          const late = answers[each.nth % Math.max(1, answers.length)];
          if (late) entries[each.entry]!.applyReport(late, 0);
        }
      }
      for (const entry of entries) {
        entry.applyReport(agent.answerFor(entry), 0);
        expectUpToDate(entry, agent);
      }
    });
    fc.assert(property, {numRuns: 2_000});
  });

  it('omits unchanged lists, and updates the idle times of copies', () => {
    const agent = new ReportingAgent();
    agent.copies = ['x'];
    agent.prefixes = ['p', 'q'];
    agent.served = {x: 4, y: 2};
    const entry = createAgentState();
    entry.applyReport(agent.answerFor(entry), 0);
    agent.served.x = 5;
    agent.prefixes = ['q', 'r'];
    const answer = agent.answerFor(entry);
    expect(answer).toMatchObject({
      servedSince: {x: 5},
      prefixesAdded: ['r'],
      prefixesGone: ['p'],
    });
    expect(answer).not.toHaveProperty('copies');
    entry.applyReport(answer, 0);
    expectUpToDate(entry, agent);
    expect(entry.report?.copies[0]?.idleMs).toBe(2);
  });

  // An entry that hasn't polled for long misses more removals than the history
  // holds.
  it('sends the full report when the history is too short', () => {
    const agent = new ReportingAgent();
    agent.prefixes = ['old'];
    const entry = createAgentState();
    entry.applyReport(agent.answerFor(entry), 0);
    for (let round = 0; round < 1_100; round++) {
      agent.prefixes = [`p${round}`];
      agent.history.observe(agent.currentReport());
    }
    const answer = agent.answerFor(entry);
    expect(answer).toHaveProperty('copies');
    entry.applyReport(answer, 0);
    expectUpToDate(entry, agent);
  });

  // The changes are relative to a report that this entry doesn't have.
  it('drops changes relative to a report that it never received', () => {
    const agent = new ReportingAgent();
    agent.copies = ['x'];
    const entry = createAgentState();
    const other = createAgentState();
    entry.applyReport(agent.answerFor(entry), 0);
    agent.copies = ['y'];
    other.applyReport(agent.answerFor(other), 0);
    entry.applyReport(agent.answerFor(other), 0);
    expect(entry.reportCursor()?.sequence).toBe(1);
    entry.applyReport(agent.answerFor(entry), 0);
    expectUpToDate(entry, agent);
  });
});
