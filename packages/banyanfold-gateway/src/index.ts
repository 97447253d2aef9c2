export * from './callers/keyDigest.js';
export * from './gateway.js';
export * from './options.js';
export * from './placement/leaseManager.js';
export * from './placement/leaseTtlMs.js';
export * from './types.js';
export * from './peers/peerClient.js';
export * from './runners/runnerConnections.js';
