import {ok} from 'neverthrow';
import type {z} from 'zod';
import type {FaultSwitches} from './faultSwitches.js';
import type {Route} from './httpServer.js';
import type {TruthRecord} from './truth.js';

/** `/control/faults` and `/control/truth`, the same on every stand-in. */
export function controlRoutes<S extends z.ZodType<object>>(
  faults: FaultSwitches<S>,
  truth: TruthRecord,
): Route[] {
  return [
    {
      method: 'GET',
      pattern: /^\/control\/faults$/,
      handle: () => ok(faults.get()),
    },
    {
      method: 'PUT',
      pattern: /^\/control\/faults$/,
      handle: ({body}) => faults.set((body ?? {}) as Partial<z.output<S>>),
    },
    {
      method: 'GET',
      pattern: /^\/control\/truth$/,
      handle: () => ok(truth.all()),
    },
  ];
}
