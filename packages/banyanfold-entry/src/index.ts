export * from './createEntry.js';
export * from './settings.js';
export {
  entryPlugins,
  type EntryContext,
  type EntryPlugin,
  type NextStep,
} from './context.js';
