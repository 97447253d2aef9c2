import type {RoutingView, RunnerView} from '@banyanfold/decisions';
import type {Vm, VmList} from '@banyanfold/log';
import {AgentState} from './agentState.js';

/** The identity and location of this entry. */
export interface EntryLocation {
  vmId: string;
  failureDomain: string;
  region: string;
}

/** What this entry knows about the other VMs. */
export class ClusterView {
  private readonly agentsById = new Map<string, AgentState>();
  private runners: RunnerView[] = [];
  private peerEntries: Vm[] = [];
  private listAsOfMs = -Infinity;

  constructor(private readonly location: EntryLocation) {}

  /** Whether a VM list, possibly an empty one, has been read. */
  get hasVmList(): boolean {
    return this.listAsOfMs > -Infinity;
  }

  /** Applies a VM list unless it is older than the current one. */
  applyVmList(list: VmList): boolean {
    if (list.asOfMs < this.listAsOfMs) return false;
    this.listAsOfMs = list.asOfMs;
    const agentVms = list.vms.filter(vm => vm.role === 'agent');
    const listed = new Set(agentVms.map(vm => vm.vmId));
    for (const vmId of this.agentsById.keys()) {
      if (!listed.has(vmId)) this.agentsById.delete(vmId);
    }
    for (const vm of agentVms) this.applyAgentVm(vm);
    this.runners = this.agents().map(agent => agent.runner);
    this.peerEntries = list.vms.filter(
      vm => vm.role === 'entry' && vm.vmId !== this.location.vmId,
    );
    return true;
  }

  agents(): AgentState[] {
    return [...this.agentsById.values()];
  }

  agent(vmId: string): AgentState | undefined {
    return this.agentsById.get(vmId);
  }

  /** The other entries of the VM list, including those that are leaving. */
  peers(): Vm[] {
    return this.peerEntries;
  }

  /**
   * The live entries, any of which may plan, including this one unless it is
   * leaving.
   */
  plannerCandidates(selfLeaving: boolean): string[] {
    const others = this.peerEntries
      .filter(vm => vm.state === 'live')
      .map(vm => vm.vmId);
    return selfLeaving ? others : [...others, this.location.vmId];
  }

  routingView(): RoutingView {
    const {failureDomain, region} = this.location;
    return {runners: this.runners, failureDomain, region};
  }

  /** A known VM id at a new address is a different VM with the same id. */
  private applyAgentVm(vm: Vm): void {
    const known = this.agentsById.get(vm.vmId);
    const moved =
      known && (known.vm.host !== vm.host || known.vm.port !== vm.port);
    if (known && !moved) known.setVm(vm);
    else this.agentsById.set(vm.vmId, new AgentState(vm));
  }
}
