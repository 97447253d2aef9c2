import {z} from 'zod';
import {outageSchema} from '../common/outage.js';

export const listedVmSchema = z.object({
  vmId: z.string(),
  role: z.enum(['entry', 'agent']),
  host: z.string(),
  port: z.number().int(),
  failureDomain: z.string(),
  region: z.string().default('region-1'),
  state: z.enum(['live', 'leaving']).default('live'),
});

export type ListedVm = z.infer<typeof listedVmSchema>;

export const vmListOptionsSchema = z.object({
  vms: z.array(listedVmSchema).default([]),
});

export type VmListOptions = z.infer<typeof vmListOptionsSchema>;

export const vmListFaultsSchema = z.strictObject({
  outage: outageSchema,
  /** How old the list is that readers get. */
  lagMs: z.number().min(0).default(0),
  /** Delay of each answer. */
  answerDelayMs: z.number().min(0).default(0),
});

export type VmListFaults = z.infer<typeof vmListFaultsSchema>;
