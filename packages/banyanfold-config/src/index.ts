export * from './artifact.js';
export * from './compileConfig.js';
export * from './configFold.js';
export * from './configRecords.js';
export * from './labels.js';
export * from './parseConfig.js';
export * from './types.js';
export * from './validateConfig.js';
