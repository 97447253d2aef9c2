export * from './clock.js';
export * from './errors.js';
export * from './jsonWithComments.js';
export * from './kernel.js';
export * from './lineWriter.js';
export * from './logger.js';
export * from './metrics.js';
export * from './secrets.js';
