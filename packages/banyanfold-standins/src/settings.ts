import {z} from 'zod';
import {DEFAULT_SEED} from './common/random.js';
import {engineStandinSchema} from './engine/EngineStandin.js';
import {logStandinSchema} from './log/LogStandin.js';
import {plainServiceStandinSchema} from './service/PlainServiceStandin.js';
import {vmListStandinSchema} from './vmList/VmListStandin.js';
import {weightStoreStandinSchema} from './weightStore/WeightStoreStandin.js';

/** The settings of a process that runs stand-ins; any of them may be absent. */
export const standinsSettingsSchema = z
  .strictObject({
    log: logStandinSchema.optional(),
    weightStore: weightStoreStandinSchema.optional(),
    vmList: vmListStandinSchema.optional(),
    engines: z.array(engineStandinSchema).default([]),
    services: z.array(plainServiceStandinSchema).default([]),
    /** For the faults that come with a probability. */
    seed: z.number().int().default(DEFAULT_SEED),
  })
  .refine(hasUniqueNames, {
    message: 'engines and services need names of their own',
  });

function hasUniqueNames(settings: {
  engines: Array<{name: string}>;
  services: Array<{name: string}>;
}): boolean {
  const named = [...settings.engines, ...settings.services];
  return new Set(named.map(({name}) => name)).size === named.length;
}

export type StandinsSettings = z.infer<typeof standinsSettingsSchema>;
export type StandinsSettingsInput = z.input<typeof standinsSettingsSchema>;
