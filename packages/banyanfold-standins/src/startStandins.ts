import type {Logger} from '@banyanfold/core';
import type {ServerContext} from './common/standinOptions.js';
import {createRandom} from './common/random.js';
import {EngineStandin} from './engine/EngineStandin.js';
import {LogStandin} from './log/LogStandin.js';
import {PlainServiceStandin} from './service/PlainServiceStandin.js';
import type {StandinsSettings} from './settings.js';
import {VmListStandin} from './vmList/VmListStandin.js';
import {WeightStoreStandin} from './weightStore/WeightStoreStandin.js';

interface Standin {
  start(): Promise<{port: number}>;
  stop(): Promise<void>;
}

export interface StartedStandins {
  /** Ports by name, for example `log` or `engine-1`. */
  ports: Record<string, number>;
  stop(): Promise<void>;
}

/**
 * Starts every stand-in that the settings name.
 *
 * @throws when a port is taken.
 * @example await startStandins(standinsSettingsSchema.parse({log: {}}), logger)
 */
export async function startStandins(
  settings: StandinsSettings,
  logger: Logger,
): Promise<StartedStandins> {
  const standins = createStandins(settings, logger);
  const ports: Record<string, number> = {};
  const stop = async (): Promise<void> => {
    await Promise.all([...standins.values()].map(standin => standin.stop()));
  };
  for (const [name, standin] of standins) {
    const {port} = await standin.start();
    ports[name] = port;
    logger.info('standin-started', {standin: name, port});
  }
  return {ports, stop};
}

function createStandins(
  settings: StandinsSettings,
  logger: Logger,
): Map<string, Standin> {
  const {log, weightStore, vmList, engines, services, seed} = settings;
  const random = createRandom(seed);
  const contextOf = (standin: string): ServerContext => ({
    logger: logger.child({standin}),
    random,
  });
  const standins = new Map<string, Standin>();
  if (log) standins.set('log', new LogStandin(log, contextOf('log')));
  if (weightStore) {
    const context = contextOf('weight-store');
    standins.set('weight-store', new WeightStoreStandin(weightStore, context));
  }
  if (vmList) {
    standins.set('vm-list', new VmListStandin(vmList, contextOf('vm-list')));
  }
  for (const engine of engines) {
    const context = contextOf(engine.name);
    standins.set(engine.name, new EngineStandin(engine, context));
  }
  for (const service of services) {
    const context = contextOf(service.name);
    standins.set(service.name, new PlainServiceStandin(service, context));
  }
  return standins;
}
