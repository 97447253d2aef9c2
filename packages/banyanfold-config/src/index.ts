export * from './artifact.js';
export * from './types.js';
