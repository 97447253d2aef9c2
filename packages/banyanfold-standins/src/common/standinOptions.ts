import {systemClock, type Clock, type Logger} from '@banyanfold/core';
import {z} from 'zod';
import {DEFAULT_SEED, createRandom, type Random} from './random.js';
import type {TruthEntry} from './truth.js';

/** What every state class takes besides its own options. */
export interface StateContext {
  clock?: Clock;
  random?: Random;
  /** Called with each entry of the truth record, for the log. */
  onTruth?: (entry: TruthEntry) => void;
}

/** What every HTTP stand-in takes besides its own options. */
export interface ServerContext extends StateContext {
  logger?: Logger;
}

export const listenSchema = z.object({
  host: z.string().default('127.0.0.1'),
  /** 0 takes a free port. */
  port: z.number().int().min(0).default(0),
});

export function resolveContext(context: StateContext): {
  clock: Clock;
  random: Random;
} {
  return {
    clock: context.clock ?? systemClock,
    random: context.random ?? createRandom(DEFAULT_SEED),
  };
}

/** Gives each entry of the truth record a log line. */
export function logTruth(context: ServerContext): StateContext {
  const {logger, onTruth} = context;
  return {
    ...context,
    onTruth: entry => {
      onTruth?.(entry);
      const {kind, atMs: _atMs, ...fields} = entry;
      logger?.info(kind, printable(fields));
    },
  };
}

/** Scalars only: the body of a call is its caller's and is not logged. */
function printable(
  fields: Record<string, unknown>,
): Record<string, string | number | boolean> {
  const flat: Record<string, string | number | boolean> = {};
  for (const [key, value] of Object.entries(fields)) {
    if (key === 'body') continue;
    if (isScalar(value)) flat[key] = value;
  }
  return flat;
}

function isScalar(value: unknown): value is string | number | boolean {
  return ['string', 'number', 'boolean'].includes(typeof value);
}
