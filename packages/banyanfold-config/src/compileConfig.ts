import {err, ok, type Result} from 'neverthrow';
import {adapterArtifact, modelArtifact} from './artifact.js';
import {indexGroups, indexModels, type GroupIndex} from './groupIndex.js';
import type {
  PublishedConfig,
  RequestAttributes,
  ResolvedTarget,
  Selector,
} from './types.js';

/** Why a request leads nowhere. */
export interface ResolveError {
  /**
   * `forbidden`: no selector allows this caller that name; `unknown-name`:
   * nothing published has the name; `no-selector`: published, but no selector
   * leads to it for anyone.
   */
  code: 'no-selector' | 'unknown-name' | 'forbidden';
  message: string;
}

/** Who asks for the list of names. */
export type NameViewer = Pick<RequestAttributes, 'caller' | 'desk'> &
  Partial<Pick<RequestAttributes, 'headers'>>;

/** A model or adapter that a selector reaches, and so must stay reachable. */
export interface RoutableArtifact {
  artifact: string;
  /** The model's artifact; the same as `artifact` for a model. */
  modelArtifact: string;
  bytes: number;
  /** The best priority of the selectors that reach it; 0 is first. */
  priority: number;
  /** What the selector with that priority prefers; empty for any. */
  runnerRole: string;
}

/** A configuration with its indexes, made once for each version. */
export interface CompiledConfig {
  readonly config: PublishedConfig;
  resolve(attributes: RequestAttributes): Result<ResolvedTarget, ResolveError>;
  visibleNames(viewer: NameViewer): string[];
  artifacts(): readonly RoutableArtifact[];
}

interface Route {
  selector: Selector;
  group: GroupIndex;
}

/**
 * Compiles a configuration, so that a request is resolved by look-ups.
 *
 * @example
 * const compiled = compileConfig(config);
 * compiled.resolve({caller: 'vanua', desk: 'claims',
 *   requestedName: 'drafting', headers: {}});
 */
export function compileConfig(config: PublishedConfig): CompiledConfig {
  const groups = indexGroups(config);
  const routes = toRoutes(config, groups);
  const artifacts = listArtifacts(config, routes);
  const knownNames = collectNames(config, groups);
  return {
    config,
    resolve: attributes => resolveBy(routes, knownNames, attributes),
    visibleNames: viewer => listNames(routes, viewer),
    artifacts: () => artifacts,
  };
}

/**
 * Finds where a request may go: the first selector, in listed order, whose
 * match fits and whose group contains the requested name.
 *
 * @example
 * resolveRequest(config, {caller: 'vanua', desk: 'claims',
 *   requestedName: 'drafting@2', headers: {}});
 */
export function resolveRequest(
  config: PublishedConfig,
  attributes: RequestAttributes,
): Result<ResolvedTarget, ResolveError> {
  return compileConfig(config).resolve(attributes);
}

/**
 * The names a caller may ask for, without versions and services.
 *
 * @example visibleNames(config, {caller: 'vanua', desk: 'claims'})
 */
export function visibleNames(
  config: PublishedConfig,
  viewer: NameViewer,
): string[] {
  return compileConfig(config).visibleNames(viewer);
}

function toRoutes(
  config: PublishedConfig,
  groups: ReadonlyMap<string, GroupIndex>,
): Route[] {
  const routes: Route[] = [];
  for (const selector of config.selectors) {
    const group = groups.get(selector.group);
    if (group) routes.push({selector, group});
  }
  return routes;
}

function resolveBy(
  routes: readonly Route[],
  knownNames: ReadonlySet<string>,
  attributes: RequestAttributes,
): Result<ResolvedTarget, ResolveError> {
  const {requestedName} = attributes;
  let isCallerKnown = false;
  for (const {selector, group} of routes) {
    if (!matchesCaller(selector, attributes)) continue;
    isCallerKnown = true;
    if (!matchesName(selector, requestedName)) continue;
    const destination = group.byName.get(requestedName);
    if (destination) return ok({selector, ...destination});
  }
  return err(refusal(routes, knownNames, requestedName, isCallerKnown));
}

function refusal(
  routes: readonly Route[],
  knownNames: ReadonlySet<string>,
  name: string,
  isCallerKnown: boolean,
): ResolveError {
  // A caller whom nothing allows learns nothing about what is published.
  if (!isCallerKnown) {
    return {code: 'forbidden', message: 'no selector allows this caller'};
  }
  if (!knownNames.has(name)) {
    return {code: 'unknown-name', message: `nothing is named "${name}"`};
  }
  if (!routes.some(({group}) => group.byName.has(name))) {
    return {code: 'no-selector', message: `no selector leads to "${name}"`};
  }
  return {
    code: 'forbidden',
    message: `no selector allows this caller "${name}"`,
  };
}

function matchesCaller(selector: Selector, viewer: NameViewer): boolean {
  const {callers, desks, headers} = selector.match;
  if (callers.length > 0 && !callers.includes(viewer.caller)) return false;
  if (desks.length > 0 && !desks.includes(viewer.desk)) return false;
  for (const [name, value] of Object.entries(headers)) {
    if (viewer.headers?.[name] !== value) return false;
  }
  return true;
}

/** A selector for `drafting` speaks of `drafting@2` as well. */
function matchesName(selector: Selector, requestedName: string): boolean {
  const {names} = selector.match;
  if (names.length === 0 || names.includes(requestedName)) return true;
  const plainName = requestedName.split('+').pop()?.split('@')[0] ?? '';
  return names.includes(plainName);
}

function listNames(routes: readonly Route[], viewer: NameViewer): string[] {
  const names = new Set<string>();
  for (const {selector, group} of routes) {
    if (!matchesCaller(selector, viewer)) continue;
    for (const name of group.listedNames) {
      if (matchesName(selector, name)) names.add(name);
    }
  }
  return [...names];
}

function listArtifacts(
  config: PublishedConfig,
  routes: readonly Route[],
): RoutableArtifact[] {
  const best = new Map<string, Selector>();
  const keepBest = (artifact: string, selector: Selector): void => {
    const known = best.get(artifact);
    if (!known || selector.priority < known.priority) {
      best.set(artifact, selector);
    }
  };
  for (const {selector, group} of routes) {
    for (const destination of group.destinations) {
      if (destination.kind === 'service') continue;
      keepBest(destination.artifact, selector);
      // An adapter answers only where its model is held.
      keepBest(destination.modelArtifact, selector);
    }
  }
  const toLabelled = (
    artifact: string,
    base: string,
    bytes: number,
  ): RoutableArtifact[] => {
    const selector = best.get(artifact);
    if (!selector) return [];
    const {priority, runnerRole = ''} = selector;
    return [{artifact, modelArtifact: base, bytes, priority, runnerRole}];
  };
  const models = [...indexModels(config)].flatMap(([artifact, model]) =>
    toLabelled(artifact, artifact, model.weightBytes),
  );
  const adapters = config.adapters.flatMap(adapter => {
    const base = {name: adapter.model, version: adapter.modelVersion};
    return toLabelled(
      adapterArtifact(adapter),
      modelArtifact(base),
      adapter.weightBytes,
    );
  });
  return [...models, ...adapters];
}

function collectNames(
  config: PublishedConfig,
  groups: ReadonlyMap<string, GroupIndex>,
): Set<string> {
  const names = new Set<string>();
  for (const item of [...config.models, ...config.adapters]) {
    names.add(item.name).add(modelArtifact(item));
  }
  for (const adapter of config.adapters) names.add(adapterArtifact(adapter));
  for (const service of config.services) names.add(service.name);
  for (const name of groups.keys()) names.add(name);
  return names;
}
