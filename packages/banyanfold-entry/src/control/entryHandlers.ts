import {
  DEFAULT_ROUTE_OPTIONS,
  decideRoute,
  type CandidateReason,
} from '@banyanfold/decisions';
import type {
  EntryHandlers,
  EntryStatus,
  ExplainInput,
  ExplainResult,
} from '@banyanfold/protocol';
import type {EntryContext, EntryPlugin} from '../context.js';
import {isReady} from '../http/readiness.js';
import type {AgentState} from '../view/agentState.js';

/** Score of a runner that isn't a candidate; JSON can't encode infinity. */
const NO_CANDIDATE_SCORE = -1;

export interface EntryHandlersOptions {
  context: EntryContext;
  plugins: readonly EntryPlugin[];
  /** Starts to drain, without waiting for the end. */
  beginDrain(): void;
}

/** Creates the handlers of the control calls of peers and operators. */
export function createEntryHandlers(
  options: EntryHandlersOptions,
): EntryHandlers {
  const {context, plugins, beginDrain} = options;
  const {configWatch, lifecycle, misses} = context;
  return {
    status: async () => entryStatus(context, plugins),
    misses: async () => misses.snapshot(),
    configSnapshot: async () => {
      const state = configWatch.snapshot();
      return state ?? {version: 0, foldedThrough: 0, body: null};
    },
    drain: async () => {
      beginDrain();
      return {openRequests: lifecycle.openRequestCount};
    },
    explain: async input => explain(context, input),
  };
}

function entryStatus(
  context: EntryContext,
  plugins: readonly EntryPlugin[],
): EntryStatus {
  const {settings, configWatch, lifecycle, view, misses, clock} = context;
  const epochs = plugins.map(plugin => plugin.plannerEpoch?.() ?? 0);
  return {
    vmId: settings.vmId,
    failureDomain: settings.failureDomain,
    configVersion: configWatch.version,
    ready: isReady(context),
    leaving: lifecycle.leaving,
    openRequests: lifecycle.openRequestCount,
    plannerEpoch: Math.max(0, ...epochs),
    missedCount: misses.snapshot(),
    agents: view.agents().map(agent => agentStatus(agent, clock.nowMs())),
  };
}

function agentStatus(
  agent: AgentState,
  nowMs: number,
): EntryStatus['agents'][number] {
  const {reachable, reportReceivedMs, running, queued, artifacts} =
    agent.runner;
  return {
    vmId: agent.vmId,
    reachable,
    ageMs: Math.round(nowMs - reportReceivedMs),
    configVersion: agent.report?.configVersion ?? 0,
    running,
    queued,
    artifacts: [...artifacts].sort(),
  };
}

function explain(context: EntryContext, input: ExplainInput): ExplainResult {
  const {configWatch, view, clock} = context;
  const resolved = configWatch.current?.resolve(input);
  if (!resolved) return unresolvedResult('no configuration is known here');
  if (resolved.isErr()) return unresolvedResult(resolved.error.message);
  const {kind, selector, artifact, modelArtifact} = resolved.value;
  const {firstTokenMs, wholeAnswerMs} = selector.targets;
  const decision = decideRoute(
    view.routingView(),
    {
      artifact,
      modelArtifact: modelArtifact || artifact,
      priority: selector.priority,
      runnerRole: selector.runnerRole ?? '',
      prefixHash: '',
      promptTokens: 0,
      maxTokens: 0,
      firstTokenBudgetMs: kind === 'service' ? wholeAnswerMs : firstTokenMs,
      triedVmIds: [],
    },
    clock.nowMs(),
    DEFAULT_ROUTE_OPTIONS,
  );
  return {
    selector: selector.name,
    artifact,
    reason: decision.kind === 'route' ? decision.vmId : decision.code,
    candidates: decision.reasons.map(toCandidate),
  };
}

function unresolvedResult(reason: string): ExplainResult {
  return {selector: '', artifact: '', reason, candidates: []};
}

function toCandidate({vmId, scoreMs, reason}: CandidateReason) {
  const score = Number.isFinite(scoreMs) ? scoreMs : NO_CANDIDATE_SCORE;
  return {vmId, score, reason};
}
