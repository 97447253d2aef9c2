import type {BanyanfoldError} from '@banyanfold/core';
import type {ResultAsync} from 'neverthrow';
import {z} from 'zod';

export const logRecordSchema = z.object({
  offset: z.number(),
  appendedAtMs: z.number(),
  value: z.unknown(),
});

export const logPageSchema = z.object({
  firstOffset: z.number(),
  nextOffset: z.number(),
  nowMs: z.number(),
  records: z.array(logRecordSchema),
});

export const appendResponseSchema = z.object({
  firstOffset: z.number(),
  lastOffset: z.number(),
  appendedAtMs: z.number(),
});

export type LogRecord = z.infer<typeof logRecordSchema>;
export type LogPage = z.infer<typeof logPageSchema>;
export type AppendResponse = z.infer<typeof appendResponseSchema>;

/** The streams of the platform log that the system uses. */
export const STREAMS = {
  config: 'config',
  fences: 'fences',
  claims: 'claims',
  retirements: 'retirements',
  planner: 'planner',
} as const;

export type StreamName = (typeof STREAMS)[keyof typeof STREAMS];

/**
 * The range to read, and how long the log may hold the call without new
 * records.
 */
export interface ReadOptions {
  fromOffset: number;
  limit?: number;
  waitMs?: number;
  /** Aborts a read in flight. */
  signal?: AbortSignal;
}

/**
 * Client of the platform log. Errors have the code `log-unavailable` (nothing
 * was appended, or nothing could be read) or `append-unknown` (the response was
 * lost, and the records may or may not be in the log).
 */
export interface LogService {
  append(
    stream: StreamName,
    values: unknown[],
  ): ResultAsync<AppendResponse, BanyanfoldError>;
  read(
    stream: StreamName,
    options: ReadOptions,
  ): ResultAsync<LogPage, BanyanfoldError>;
}

export const vmSchema = z.object({
  vmId: z.string(),
  role: z.enum(['entry', 'agent']),
  host: z.string(),
  port: z.number(),
  failureDomain: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
});

export const vmListSchema = z.object({
  asOfMs: z.number(),
  vms: z.array(vmSchema),
});

export type Vm = z.infer<typeof vmSchema>;
export type VmList = z.infer<typeof vmListSchema>;

/**
 * Client of the platform's VM list, which may be stale. Errors have the code
 * `vm-list-unavailable`.
 */
export interface VmListService {
  read(): ResultAsync<VmList, BanyanfoldError>;
}
