import type {
  AcceptedOrder,
  ReceivedRequest,
} from '@banyanfold/platform/standins';
import type {Call} from './callers.js';
import type {ResumedStream} from './resumingCaller.js';
import type {FaultKind} from './soakPlan.js';
import type {Leaving} from './soakSystem.js';

/** A fault as it was played. */
export interface PlayedFault {
  kind: FaultKind;
  fromMs: number;
  toMs: number;
  /** The entry that it struck; undefined for others. */
  entry?: string;
}

/** One question which configuration is in force at an entry. */
export interface ConfigProbe {
  entry: string;
  entryStart: number;
  route: string;
  /** When the store had the route. */
  addedMs: number;
  askedMs: number;
  isKnown: boolean;
}

/** When a caller sent odd headers, in ms of the monotonic clock. */
export interface OddCallerSpan {
  /** Calls count from here on, and up to the first odd one. */
  beforeMs: number;
  fromMs: number;
  toMs: number;
  /** From here on all is to be as it was before. */
  overMs: number;
}

/** What callers, runners and the supervisor saw of one run. */
export interface SoakRecord {
  calls: readonly Call[];
  /** Streams of callers that leave and take them up again. */
  streams: readonly ResumedStream[];
  /** Sendings of the requests that crash each runner that runs them. */
  crashing: readonly Call[];
  /** Undefined if no caller sent odd headers. */
  oddCaller?: OddCallerSpan;
  /** All that reached a runner, by request id. */
  seen: ReadonlyMap<string, readonly ReceivedRequest[]>;
  orders: readonly AcceptedOrder[];
  overfilled: readonly AcceptedOrder[];
  faults: readonly PlayedFault[];
  probes: readonly ConfigProbe[];
  leavings: readonly Leaving[];
  /** Processes that ended by themselves. */
  ownEnds: readonly string[];
  /** What was not served again after the last fault. */
  notRecovered: readonly string[];
}

export interface Violation {
  rule: string;
  what: string;
}
