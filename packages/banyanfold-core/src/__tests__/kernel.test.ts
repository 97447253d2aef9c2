import {describe, expect, it} from 'vitest';
import {VirtualClock} from '../clock.js';
import {Kernel, PluginRegistry} from '../kernel.js';
import {MemoryLogger} from '../logger.js';
import {Metrics} from '../metrics.js';

describe('Kernel', () => {
  it('starts in order and stops the started plug-ins in reverse', async () => {
    // Guards against leaked ports and timers. When a plug-in fails to start, the
    // caller receives the error and stops the plug-ins started before it.
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

  it('lists the registered names when a name is unknown', () => {
    const registry = new PluginRegistry();
    registry.register('planner', () => ({name: 'planner'}));
    expect(() => registry.create('plannr', context, {})).toThrow(
      'no plug-in is named "plannr"; there are: planner',
    );
  });

  it('rejects a duplicate name', () => {
    const registry = new PluginRegistry();
    registry.register('planner', () => ({name: 'planner'}));
    expect(() => registry.register('planner', () => ({name: 'other'}))).toThrow(
      'registered already',
    );
  });
});
