export * from './decideAdmission.js';
export * from './decideEjections.js';
export * from './decidePlacement.js';
export * from './decideRetry.js';
export * from './decideRoute.js';
export * from './options.js';
export * from './pickNext.js';
export * from './types.js';
