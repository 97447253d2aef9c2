import type {PlacementCopy} from '@banyanfold/decisions';
import type {WorkKind} from '../deployments.js';

/** One attempt as the agent sees it, and how it tells what became of it. */
export interface Attempt {
  attemptId: string;
  artifact: string;
  modelBytes: number;
  priority: number;
  firstTokenBudgetMs: number;
  promptTokens: number;
  prefixTokens: number;
  prefixHash: string;
  outputTokens: number;
  onFirstToken: () => void;
  onDone: () => void;
  /** Never started; `retryAfterMs` is when to come back. */
  onRefused: (code: string, retryAfterMs: number) => void;
  onBroken: () => void;
}

/** The part of a report that rides on each answer. */
export interface AgentDigest {
  vmId: string;
  takenAtMs: number;
  role: WorkKind;
  running: number;
  queued: number;
  queueDelayMs: number;
  kvUsedBytes: number;
}

/** What the agent reports, as it was when it was taken. */
export interface AgentSnapshot extends AgentDigest {
  memoryFreeBytes: number;
  held: ReadonlySet<string>;
  cachedPrefixes: ReadonlySet<string>;
  copies: PlacementCopy[];
}
