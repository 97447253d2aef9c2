import {describe, expect, it} from 'vitest';
import {VirtualClock} from '../clock.js';
import {Kernel, PluginRegistry} from '../kernel.js';
import {MemoryLogger} from '../logger.js';
import {Metrics} from '../metrics.js';

describe('Kernel', () => {
  it('starts in order, stops in reverse, and only what was started', async () => {
    // One plug-in fails to start: the caller sees the failure, and those
    // started before it are stopped, so that no port or timer is left behind.
    const calls: string[] = [];
    const plugin = (name: string, isFailing = false) => ({
      name,
      start: async () => {
        if (isFailing) throw new Error('no');
        calls.push(`start ${name}`);
      },
      stop: async () => {
        calls.push(`stop ${name}`);
      },
    });
    const plugins = [plugin('a'), plugin('b'), plugin('c', true)];
    const kernel = new Kernel(plugins, new MemoryLogger());
    await expect(kernel.start()).rejects.toThrow('no');
    await kernel.stop();
    expect(calls).toEqual(['start a', 'start b', 'stop b', 'stop a']);
  });
});

describe('PluginRegistry', () => {
  const context = {
    clock: new VirtualClock(),
    logger: new MemoryLogger(),
    metrics: new Metrics(),
  };

  it('names what there is when a name is unknown', () => {
    const registry = new PluginRegistry();
    registry.register('planner', () => ({name: 'planner'}));
    expect(() => registry.create('plannr', context, {})).toThrow(
      'no plug-in is named "plannr"; there are: planner',
    );
  });

  it('refuses a name twice', () => {
    const registry = new PluginRegistry();
    registry.register('planner', () => ({name: 'planner'}));
    expect(() => registry.register('planner', () => ({name: 'other'}))).toThrow(
      'registered already',
    );
  });
});
