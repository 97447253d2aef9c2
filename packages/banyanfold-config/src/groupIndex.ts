import {adapterArtifact, modelArtifact} from './artifact.js';
import {groupMembers, type GroupMember} from './labels.js';
import type {Model, PublishedConfig, ResolvedTarget} from './types.js';

/** A resolved target without the selector that granted access to it. */
export type Destination = Omit<ResolvedTarget, 'selector'>;

/** The contents of one group, indexed by every name that requests may use. */
export interface GroupIndex {
  byName: ReadonlyMap<string, Destination>;
  /** In listed order. */
  destinations: readonly Destination[];
  /** Names of the models, the adapters and the group itself, without versions. */
  listedNames: readonly string[];
}

/** Indexes the models by `name@version`. */
export function indexModels(config: PublishedConfig): Map<string, Model> {
  return new Map(config.models.map(model => [modelArtifact(model), model]));
}

/**
 * Indexes each group of a configuration by the names that requests may use. For
 * conflicting names, models take precedence over adapters, adapters over services
 * and services over the group's own name.
 *
 * @example indexGroups(config).get('claims')?.byName.get('claims@3')
 */
export function indexGroups(config: PublishedConfig): Map<string, GroupIndex> {
  const models = indexModels(config);
  const groups = new Map<string, GroupIndex>();
  for (const group of config.groups) {
    const members = groupMembers(config, group);
    groups.set(group.name, indexGroup(group.name, members, models));
  }
  return groups;
}

function indexGroup(
  groupName: string,
  members: GroupMember[],
  models: ReadonlyMap<string, Model>,
): GroupIndex {
  const destinations: Destination[] = [];
  const byPlain = new Map<string, Destination>();
  const byExact = new Map<string, Destination>();
  const listedNames = new Set<string>();
  for (const kind of ['service', 'adapter', 'model'] as const) {
    const membersOfKind = members.filter(member => member.kind === kind);
    const named = membersOfKind.map(member =>
      toNamedDestination(member, models),
    );
    for (const {name, exactNames, destination} of named) {
      byPlain.set(name, destination);
      for (const exactName of exactNames) byExact.set(exactName, destination);
    }
    destinations.unshift(...named.map(({destination}) => destination));
  }
  for (const member of members) {
    if (member.kind !== 'service') {
      listedNames.add(toNamedDestination(member, models).name);
    }
  }
  const first = destinations[0];
  if (first && first.kind !== 'service') listedNames.add(groupName);
  const byName = new Map(first ? [[groupName, first]] : []);
  for (const [name, destination] of byPlain) byName.set(name, destination);
  for (const [name, destination] of byExact) byName.set(name, destination);
  return {byName, destinations, listedNames: [...listedNames]};
}

interface NamedDestination {
  name: string;
  exactNames: string[];
  destination: Destination;
}

function toNamedDestination(
  member: GroupMember,
  models: ReadonlyMap<string, Model>,
): NamedDestination {
  if (member.kind === 'model') {
    const artifact = modelArtifact(member.model);
    const {kvBytesPerToken} = member.model;
    return {
      name: member.model.name,
      exactNames: [artifact],
      destination: {
        kind: 'model',
        artifact,
        modelArtifact: artifact,
        kvBytesPerToken,
      },
    };
  }
  if (member.kind === 'adapter') {
    const {adapter} = member;
    const artifact = adapterArtifact(adapter);
    const base = modelArtifact({
      name: adapter.model,
      version: adapter.modelVersion,
    });
    return {
      name: adapter.name,
      exactNames: [modelArtifact(adapter), artifact],
      destination: {
        kind: 'adapter',
        artifact,
        modelArtifact: base,
        kvBytesPerToken: models.get(base)?.kvBytesPerToken ?? 0,
      },
    };
  }
  const {name} = member.service;
  return {
    name,
    exactNames: [],
    destination: {
      kind: 'service',
      artifact: name,
      modelArtifact: '',
      kvBytesPerToken: 0,
    },
  };
}
