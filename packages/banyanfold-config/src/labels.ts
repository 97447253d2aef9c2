import type {
  Adapter,
  Group,
  LabelSelector,
  Labels,
  Model,
  PublishedConfig,
  Service,
} from './types.js';

/** A model, adapter or service that a group's label selector matches. */
export type GroupMember =
  | {kind: 'model'; model: Model}
  | {kind: 'adapter'; adapter: Adapter}
  | {kind: 'service'; service: Service};

type MatchExpression = LabelSelector['matchExpressions'][number];

const OPERATOR_MATCHERS: Record<
  MatchExpression['operator'],
  (labels: Labels, expression: MatchExpression) => boolean
> = {
  In: (labels, {key, values}) => {
    const value = getLabel(labels, key);
    return value !== undefined && values.includes(value);
  },
  NotIn: (labels, {key, values}) => {
    const value = getLabel(labels, key);
    return value === undefined || !values.includes(value);
  },
  Exists: (labels, {key}) => getLabel(labels, key) !== undefined,
  DoesNotExist: (labels, {key}) => getLabel(labels, key) === undefined,
};

/**
 * Whether a label selector matches the labels. An empty selector matches all.
 *
 * @example
 * matchesLabels({matchLabels: {desk: 'claims'}, matchExpressions: []},
 *   {desk: 'claims'}) // true
 */
export function matchesLabels(
  selector: LabelSelector,
  labels: Labels,
): boolean {
  for (const [key, value] of Object.entries(selector.matchLabels)) {
    if (getLabel(labels, key) !== value) return false;
  }
  return selector.matchExpressions.every(expression =>
    OPERATOR_MATCHERS[expression.operator](labels, expression),
  );
}

/** Ignores inherited properties, so that a key like `constructor` is absent. */
function getLabel(labels: Labels, key: string): string | undefined {
  return Object.hasOwn(labels, key) ? labels[key] : undefined;
}

/**
 * Lists the members of a group: models, then adapters, then services.
 *
 * @example groupMembers(config, config.groups[0])
 */
export function groupMembers(
  config: PublishedConfig,
  group: Group,
): GroupMember[] {
  const selector = group.labelSelector;
  const members: GroupMember[] = [];
  for (const model of config.models) {
    if (matchesLabels(selector, model.labels)) {
      members.push({kind: 'model', model});
    }
  }
  for (const adapter of config.adapters) {
    if (matchesLabels(selector, adapter.labels)) {
      members.push({kind: 'adapter', adapter});
    }
  }
  for (const service of config.services) {
    if (matchesLabels(selector, service.labels)) {
      members.push({kind: 'service', service});
    }
  }
  return members;
}
