import {err, ok, type Result} from 'neverthrow';
import {adapterArtifact, modelArtifact} from './artifact.js';
import {indexGroups, indexModels, type GroupIndex} from './groupIndex.js';
import type {
  PublishedConfig,
  RequestAttributes,
  ResolvedTarget,
  Selector,
} from './types.js';

/** Explains why a request resolves to no target. */
export interface ResolveError {
  /**
   * `forbidden`: no selector grants this caller access to the name;
   * `unknown-name`: nothing published has the name; `no-selector`: the name is
   * published, but no selector covers it for any caller.
   */
  code: 'no-selector' | 'unknown-name' | 'forbidden';
  message: string;
}

/** The caller that requests the list of names. */
export type NameViewer = Pick<RequestAttributes, 'caller' | 'desk'> &
  Partial<Pick<RequestAttributes, 'headers'>>;

/** A model or adapter that a selector covers, and so must stay available. */
export interface RoutableArtifact {
  artifact: string;
  /** Artifact of the base model; equals `artifact` for a model. */
  modelArtifact: string;
  bytes: number;
  /** The most urgent priority of the selectors that cover it; 0 is highest. */
  priority: number;
  /** The runner role that this selector prefers; empty for any role. */
  runnerRole: string;
}

/** A configuration with its lookup indexes, built once per version. */
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
 * Builds the indexes that let a request be resolved by map lookups.
 *
 * @example
 * const compiled = compileConfig(config);
 * compiled.resolve({caller: 'vanua', desk: 'claims',
 *   requestedName: 'drafting', headers: {}});
 */
export function compileConfig(config: PublishedConfig): CompiledConfig {
  const groups = indexGroups(config);
  const routes = buildRoutes(config, groups);
  const artifacts = listArtifacts(config, routes);
  const knownNames = collectNames(config, groups);
  return {
    config,
    resolve: attributes => resolveWithRoutes(routes, knownNames, attributes),
    visibleNames: viewer => listVisibleNames(routes, viewer),
    artifacts: () => artifacts,
  };
}

/**
 * Resolves the target of a request: the first selector, in listed order, that
 * matches the request and whose group contains the requested name.
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
 * Lists the names that a caller may request, without versions and services.
 *
 * @example visibleNames(config, {caller: 'vanua', desk: 'claims'})
 */
export function visibleNames(
  config: PublishedConfig,
  viewer: NameViewer,
): string[] {
  return compileConfig(config).visibleNames(viewer);
}

function buildRoutes(
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

function resolveWithRoutes(
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
  return err(toResolveError(routes, knownNames, requestedName, isCallerKnown));
}

function toResolveError(
  routes: readonly Route[],
  knownNames: ReadonlySet<string>,
  name: string,
  isCallerKnown: boolean,
): ResolveError {
  // An unauthorized caller must not learn which names are published.
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

/** A selector for `drafting` matches every version, such as `drafting@2`. */
function matchesName(selector: Selector, requestedName: string): boolean {
  const {names} = selector.match;
  if (names.length === 0 || names.includes(requestedName)) return true;
  const plainName = requestedName.split('+').pop()?.split('@')[0] ?? '';
  return names.includes(plainName);
}

function listVisibleNames(
  routes: readonly Route[],
  viewer: NameViewer,
): string[] {
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
  const bestSelectors = new Map<string, Selector>();
  const keepBest = (artifact: string, selector: Selector): void => {
    const known = bestSelectors.get(artifact);
    if (!known || selector.priority < known.priority) {
      bestSelectors.set(artifact, selector);
    }
  };
  for (const {selector, group} of routes) {
    for (const destination of group.destinations) {
      if (destination.kind === 'service') continue;
      keepBest(destination.artifact, selector);
      // An adapter runs only on a server that holds its base model.
      keepBest(destination.modelArtifact, selector);
    }
  }
  const toRoutable = (
    artifact: string,
    base: string,
    bytes: number,
  ): RoutableArtifact[] => {
    const selector = bestSelectors.get(artifact);
    if (!selector) return [];
    const {priority, runnerRole = ''} = selector;
    return [{artifact, modelArtifact: base, bytes, priority, runnerRole}];
  };
  const models = [...indexModels(config)].flatMap(([artifact, model]) =>
    toRoutable(artifact, artifact, model.weightBytes),
  );
  const adapters = config.adapters.flatMap(adapter => {
    const base = {name: adapter.model, version: adapter.modelVersion};
    return toRoutable(
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
