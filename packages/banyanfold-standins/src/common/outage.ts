import type {Err} from 'neverthrow';
import {z} from 'zod';
import {CONNECTION_CUT, refuse, type Refusal} from './refusal.js';

/** `refuse` answers 503; `cut` destroys each connection. */
export const outageSchema = z.enum(['none', 'refuse', 'cut']).default('none');

export type Outage = z.infer<typeof outageSchema>;

const OUTAGE_STATUS: Record<Exclude<Outage, 'none'>, number> = {
  refuse: 503,
  cut: CONNECTION_CUT,
};

/** @returns the refusal of an outage, or undefined when there is none. */
export function outageRefusal(outage: Outage): Err<never, Refusal> | undefined {
  if (outage === 'none') return undefined;
  return refuse(OUTAGE_STATUS[outage], 'outage');
}
