import './engine.js';
import './fence.js';
import './followers.js';
import './metrics.js';
import './prefixCache.js';

/**
 * The agent's plug-ins in start order. They aren't configurable: without one of
 * them an agent would run but make commitments that it can't keep.
 */
export const AGENT_PLUGINS = [
  'engine',
  'fence',
  'followers',
  'prefix-cache',
  'metrics',
] as const;
