import './engine.js';
import './fence.js';
import './followers.js';
import './metrics.js';
import './prefixCache.js';

/**
 * In the order of their start. No setting changes it: without any of them an
 * agent would run, and promise what it can't keep.
 */
export const AGENT_PLUGINS = [
  'engine',
  'fence',
  'followers',
  'prefix-cache',
  'metrics',
] as const;
