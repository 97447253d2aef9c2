export * from './ManagedProcess.js';
export * from './Stack.js';
export * from './types.js';
export * from './waitUntil.js';
