/** What a stack is made of; all of it on loopback, on free ports. */
export interface StackOptions {
  entries?: number;
  agents?: number;
  /** Options of every engine stand-in. */
  engine?: Record<string, unknown>;
  /** Options of one engine by its index, over those of every engine. */
  engineByIndex?: Array<Record<string, unknown> | undefined>;
  log?: Record<string, unknown>;
  weightStore?: Record<string, unknown>;
  /** Settings of every entry, over the defaults here. */
  entry?: Record<string, unknown>;
  /** Settings of every agent, over the defaults here. */
  agent?: Record<string, unknown>;
  /** Failure domains, given out in turn. */
  failureDomains?: string[];
  /** Each engine in a process of its own, for benches. */
  separateEngines?: boolean;
  /** Published at the start. */
  published: unknown;
}

/** One process of the system in a stack. */
export interface StackNode {
  vmId: string;
  port: number;
  failureDomain: string;
}

export const STACK_KEYS = {
  internal: 'test-internal-key',
  operator: 'test-operator-key',
  caller: 'test-caller-key',
  otherCaller: 'test-other-key',
} as const;
