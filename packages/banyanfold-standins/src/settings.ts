import {z} from 'zod';
import {engineStandinSchema} from './engine/EngineStandin.js';
import {logStandinSchema} from './log/LogStandin.js';
import {plainServiceStandinSchema} from './service/PlainServiceStandin.js';
import {vmListStandinSchema} from './vmList/VmListStandin.js';
import {weightStoreStandinSchema} from './weightStore/WeightStoreStandin.js';

/** The settings of a process that runs stand-ins; any of them may be absent. */
export const standinsSettingsSchema = z.strictObject({
  log: logStandinSchema.optional(),
  weightStore: weightStoreStandinSchema.optional(),
  vmList: vmListStandinSchema.optional(),
  engines: z.array(engineStandinSchema).default([]),
  services: z.array(plainServiceStandinSchema).default([]),
  /** For the faults that come with a probability. */
  seed: z.number().int().default(1),
});

export type StandinsSettings = z.infer<typeof standinsSettingsSchema>;
export type StandinsSettingsInput = z.input<typeof standinsSettingsSchema>;
