import {z} from 'zod';

const MIN_MEMORY_MB = 64;
const MAX_MEMORY_MB = 1_048_576;
const MIN_DESCRIPTORS = 256;
const MAX_DESCRIPTORS = 1_048_576;
const DESCRIPTORS_MESSAGE = `must be a whole number from ${MIN_DESCRIPTORS} to ${MAX_DESCRIPTORS} (descriptors)`;
const MIN_LINK_MBPS = 0.1;
const MAX_LINK_MBPS = 100_000;
const MIN_PROCESSOR_SHARE = 0.01;
const MAX_PROCESSOR_SHARE = 1_024;

/** A number in a range that its error message names. */
function within(min: number, max: number, unit: string) {
  const error = `must be a number from ${min} to ${max} (${unit})`;
  return z.number({error}).min(min, {error}).max(max, {error});
}

/**
 * What the process may use of its machine. A resource without a value is not
 * limited.
 */
export const resourceSettingsSchema = z.object({
  /**
   * Memory of the process in MB (1,048,576 bytes). Below 64 MB the runtime
   * itself does not fit.
   */
  memoryMb: within(MIN_MEMORY_MB, MAX_MEMORY_MB, 'MB').optional(),
  /** File descriptors of the process; 200 of them are reserved for files. */
  maxDescriptors: within(MIN_DESCRIPTORS, MAX_DESCRIPTORS, 'descriptors')
    .int({error: DESCRIPTORS_MESSAGE})
    .optional(),
  /** Speed of the machine's link in Mbit/s, in each direction. */
  linkMbps: within(MIN_LINK_MBPS, MAX_LINK_MBPS, 'Mbit/s').optional(),
  /** Processor cores; may be a fraction. */
  processorShare: within(
    MIN_PROCESSOR_SHARE,
    MAX_PROCESSOR_SHARE,
    'cores',
  ).optional(),
});

export type ResourceSettings = z.infer<typeof resourceSettingsSchema>;
