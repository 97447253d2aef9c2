export * from './agent.js';
export * from './settings.js';
export {MemoryLedger} from './memory/memoryLedger.js';
export type {MemoryLedgerOptions} from './memory/memoryLedger.js';
