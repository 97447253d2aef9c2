import {z} from 'zod';

const LABEL_PATTERN = /^[A-Za-z0-9]([A-Za-z0-9._-]{0,62})$/;

const nameSchema = z
  .string()
  .regex(LABEL_PATTERN, 'use 1 to 63 letters, digits, ".", "_" or "-"');

const labelsSchema = z.record(nameSchema, z.string().max(63));

const LABEL_OPERATORS = ['In', 'NotIn', 'Exists', 'DoesNotExist'] as const;

/** One expression of a label selector. */
export const matchExpressionSchema = z.strictObject({
  key: nameSchema,
  operator: z.enum(LABEL_OPERATORS),
  values: z.array(z.string()).default([]),
});

/** A label selector in the format of Kubernetes. */
export const labelSelectorSchema = z.strictObject({
  matchLabels: labelsSchema.default({}),
  matchExpressions: z.array(matchExpressionSchema).default([]),
});

/** One version of a model. */
export const modelSchema = z.strictObject({
  name: nameSchema,
  version: nameSchema,
  labels: labelsSchema.default({}),
  weightBytes: z.number().int().positive(),
  kvBytesPerToken: z.number().int().positive().default(131_072),
});

/** One version of an adapter, for one version of a model. */
export const adapterSchema = z.strictObject({
  name: nameSchema,
  version: nameSchema,
  model: nameSchema,
  modelVersion: nameSchema,
  labels: labelsSchema.default({}),
  weightBytes: z.number().int().positive(),
});

/** A service other than an inference engine. */
export const serviceSchema = z.strictObject({
  name: nameSchema,
  labels: labelsSchema.default({}),
});

/** A named set of models, adapters and services, selected by label. */
export const groupSchema = z.strictObject({
  name: nameSchema,
  labelSelector: labelSelectorSchema,
});

/** The requests that a selector matches; an empty list matches any. */
export const requestMatchSchema = z.strictObject({
  callers: z.array(z.string()).default([]),
  desks: z.array(z.string()).default([]),
  names: z.array(z.string()).default([]),
  headers: z.record(z.string().toLowerCase(), z.string()).default({}),
});

/** Latency targets, at most what a waiting user tolerates. */
export const targetsSchema = z.strictObject({
  firstTokenMs: z.number().positive().default(310),
  betweenTokensMs: z.number().positive().default(41),
  wholeAnswerMs: z.number().positive().default(30_000),
});

/** Grants matching requests access to a group, with a priority. */
export const selectorSchema = z.strictObject({
  name: nameSchema,
  match: requestMatchSchema.default(() => requestMatchSchema.parse({})),
  group: nameSchema,
  priority: z.number().int().min(0).max(9).default(5),
  runnerRole: z.string().optional(),
  targets: targetsSchema.default(() => targetsSchema.parse({})),
  repeatable: z.boolean().default(true),
});

/** The whole configuration that operators publish. */
export const publishedConfigSchema = z.strictObject({
  models: z.array(modelSchema).default([]),
  adapters: z.array(adapterSchema).default([]),
  services: z.array(serviceSchema).default([]),
  groups: z.array(groupSchema).default([]),
  selectors: z.array(selectorSchema).default([]),
});

export type LabelSelector = z.infer<typeof labelSelectorSchema>;
export type Labels = z.infer<typeof labelsSchema>;
export type Model = z.infer<typeof modelSchema>;
export type Adapter = z.infer<typeof adapterSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Group = z.infer<typeof groupSchema>;
export type Selector = z.infer<typeof selectorSchema>;
export type Targets = z.infer<typeof targetsSchema>;
export type PublishedConfig = z.infer<typeof publishedConfigSchema>;

/** The attributes of a request that selectors match. */
export interface RequestAttributes {
  caller: string;
  desk: string;
  /** The `model` field of the request, or the service's name. */
  requestedName: string;
  /** Lower-case header names. */
  headers: Record<string, string>;
}

/** The target that a request resolves to. */
export interface ResolvedTarget {
  selector: Selector;
  kind: 'model' | 'adapter' | 'service';
  /**
   * `name@version`, `model@version+adapter@version`, or the service's name.
   */
  artifact: string;
  /** `name@version` of the base model; empty for a service. */
  modelArtifact: string;
  kvBytesPerToken: number;
}
