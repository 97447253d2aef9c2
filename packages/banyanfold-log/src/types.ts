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

/** Streams of the platform's log that the system uses. */
export const STREAMS = {
  config: 'config',
  fences: 'fences',
  claims: 'claims',
  retirements: 'retirements',
  planner: 'planner',
} as const;

export type StreamName = (typeof STREAMS)[keyof typeof STREAMS];

/** What to read, and how long the log may wait for something new. */
export interface ReadOptions {
  fromOffset: number;
  limit?: number;
  waitMs?: number;
  /** Gives up a read in flight. */
  signal?: AbortSignal;
}

/**
 * The platform's log. Errors have the codes `log-unavailable` (nothing was
 * appended, or nothing could be read) and `append-unknown` (the answer was
 * lost; the records may or may not be in the log).
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

/** The platform's list of VMs; it lags. Error code `vm-list-unavailable`. */
export interface VmListService {
  read(): ResultAsync<VmList, BanyanfoldError>;
}
