export * from './agentContract.js';
export * from './fetchMisses.js';
export * from './clients.js';
export * from './controlServer.js';
export * from './entryContract.js';
export * from './headers.js';
export * from './reportChanges.js';
