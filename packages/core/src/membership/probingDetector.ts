import type { VmId } from '../ids.js';
import {
  INDIRECT_PROBE_COUNT,
  INDIRECT_PROBE_TIMEOUT_MS,
  PROBE_PERIOD_MS,
  PROBE_TIMEOUT_MS,
  PROBES_PER_PERIOD,
  SUSPICION_TIMEOUT_MS,
} from './constants.js';
import type { DetectorMessage, MemberUpdate } from './detectorMessage.js';
import { FailureDetector } from './failureDetector.js';
import type { DetectorOptions } from './failureDetector.js';

interface Probe {
  readonly vmId: VmId;
  readonly startedAtMs: number;
  isIndirect: boolean;
}

interface RelayedProbe {
  readonly requester: VmId;
  readonly requesterSequence: number;
  readonly startedAtMs: number;
}

/**
 * Probes a few members per period, based on SWIM (Das, Gupta, Motivala 2002): a direct probe, then
 * indirect probes through other members, then a suspicion that the member may refute.
 */
export abstract class ProbingDetector extends FailureDetector {
  private readonly probes = new Map<number, Probe>();

  private readonly relayedProbes = new Map<number, RelayedProbe>();

  private remainingTargets: VmId[] = [];

  private sequence = 0;

  private nextRoundAtMs: number;

  constructor(options: DetectorOptions) {
    super(options);
    this.nextRoundAtMs = performance.now() + options.random() * PROBE_PERIOD_MS;
  }

  /** Lists the members that this VM probes. */
  protected abstract listProbeTargets(): readonly VmId[];

  /** Takes the updates to piggyback on the next message. */
  protected abstract takeUpdates(): readonly MemberUpdate[];

  /** Whether suspicions are disseminated to other members. */
  protected abstract readonly publishesSuspicion: boolean;

  protected override handleMembersChanged(): void {
    this.remainingTargets = [];
  }

  protected override handleStaleDeath(vmId: VmId): void {
    if (this.listProbeTargets().includes(vmId)) this.handleProbeFailure(vmId);
  }

  protected override advance(nowMs: number): void {
    this.advanceProbes(nowMs);
    this.expireSuspects(nowMs);
    if (nowMs < this.nextRoundAtMs) return;
    this.nextRoundAtMs = nowMs + PROBE_PERIOD_MS;
    this.listSuspects().forEach((vmId) => this.sendPing(vmId, nowMs));
    this.takeProbeTargets().forEach((vmId) => this.sendPing(vmId, nowMs));
  }

  protected override handleMessage(from: VmId, message: DetectorMessage): void {
    const { kind, sequence, target } = message;
    if (kind === 'ping') this.sendMessage(from, 'ack', sequence);
    if (kind === 'pingRequest' && target) this.forwardPing(from, target, sequence);
    if (kind === 'ack') this.handleAck(sequence);
  }

  private sendMessage(
    to: VmId,
    kind: DetectorMessage['kind'],
    sequence: number,
    target?: VmId,
  ): void {
    const message = { kind, sequence, updates: this.takeUpdates() };
    this.send(to, target ? { ...message, target } : message);
  }

  private sendPing(vmId: VmId, nowMs: number): void {
    this.sequence += 1;
    this.probes.set(this.sequence, { vmId, startedAtMs: nowMs, isIndirect: false });
    this.sendMessage(vmId, 'ping', this.sequence);
  }

  private forwardPing(requester: VmId, target: VmId, sequence: number): void {
    this.sequence += 1;
    this.relayedProbes.set(this.sequence, {
      requester,
      requesterSequence: sequence,
      startedAtMs: performance.now(),
    });
    this.sendMessage(target, 'ping', this.sequence);
  }

  private handleAck(sequence: number): void {
    const relay = this.relayedProbes.get(sequence);
    if (relay) this.sendMessage(relay.requester, 'ack', relay.requesterSequence);
    this.relayedProbes.delete(sequence);
    const probe = this.probes.get(sequence);
    this.probes.delete(sequence);
    const member = probe && this.table.get(probe.vmId);
    if (member?.state === 'suspect') member.state = 'live';
  }

  private advanceProbes(nowMs: number): void {
    this.probes.forEach((probe, sequence) => {
      const elapsedMs = nowMs - probe.startedAtMs;
      if (elapsedMs >= INDIRECT_PROBE_TIMEOUT_MS) {
        this.probes.delete(sequence);
        this.handleProbeFailure(probe.vmId);
      } else if (elapsedMs >= PROBE_TIMEOUT_MS && !probe.isIndirect) {
        this.probes.set(sequence, { ...probe, isIndirect: true });
        this.requestIndirectProbes(probe.vmId, sequence);
      }
    });
    this.relayedProbes.forEach((relay, sequence) => {
      if (nowMs - relay.startedAtMs >= INDIRECT_PROBE_TIMEOUT_MS)
        this.relayedProbes.delete(sequence);
    });
  }

  private requestIndirectProbes(target: VmId, sequence: number): void {
    const intermediaries = this.listProbeTargets().filter(
      (vmId) => vmId !== target && this.getState(vmId) === 'live',
    );
    this.sampleMembers(intermediaries, INDIRECT_PROBE_COUNT).forEach((vmId) =>
      this.sendMessage(vmId, 'pingRequest', sequence, target),
    );
  }

  private handleProbeFailure(vmId: VmId): void {
    const member = this.table.get(vmId);
    if (!member || member.state === 'dead' || member.state === 'suspect') return;
    if (member.state === 'leaving') {
      // The member announced its departure; as a suspect it would be offered to callers again.
      this.markFailed(member, 'dead');
      return;
    }
    if (this.publishesSuspicion) {
      this.markFailed(member, 'suspect');
      return;
    }
    member.state = 'suspect';
    member.suspectedAtMs = performance.now();
  }

  private expireSuspects(nowMs: number): void {
    this.table
      .list()
      .filter((member) => member.state === 'suspect')
      .filter((member) => nowMs - member.suspectedAtMs >= SUSPICION_TIMEOUT_MS)
      .forEach((member) => this.markFailed(member, 'dead'));
  }

  private listSuspects(): readonly VmId[] {
    const targets = new Set(this.listProbeTargets());
    return this.table
      .list()
      .filter((member) => member.state === 'suspect' && targets.has(member.vmId))
      .map((member) => member.vmId);
  }

  private takeProbeTargets(): readonly VmId[] {
    if (this.remainingTargets.length === 0) {
      const live = this.listProbeTargets().filter((vmId) => this.getState(vmId) !== 'suspect');
      this.remainingTargets = this.sampleMembers(live, live.length);
    }
    return this.remainingTargets.splice(0, PROBES_PER_PERIOD);
  }

  private sampleMembers(vmIds: readonly VmId[], count: number): VmId[] {
    const rest = [...vmIds];
    const picked: VmId[] = [];
    while (picked.length < count && rest.length > 0) {
      const index = Math.floor(this.options.random() * rest.length);
      const last = rest.pop() as VmId;
      if (index < rest.length) {
        picked.push(rest[index] as VmId);
        rest[index] = last;
      } else picked.push(last);
    }
    return picked;
  }
}
