import type { VmId } from '../ids.js';
import {
  INDIRECT_PROBES,
  INDIRECT_TIMEOUT_MS,
  PROBE_PERIOD_MS,
  PROBE_TIMEOUT_MS,
  PROBES_PER_PERIOD,
  SUSPICION_MS,
} from './constants.js';
import type { DetectorMessage, MemberUpdate } from './detectorMessage.js';
import { FailureDetector } from './failureDetector.js';
import type { DetectorOptions } from './failureDetector.js';

interface Probe {
  readonly vmId: VmId;
  readonly startedAtMs: number;
  isIndirect: boolean;
}

interface Relay {
  readonly asker: VmId;
  readonly sequence: number;
  readonly startedAtMs: number;
}

/**
 * Probes a few members a period, after SWIM (Das, Gupta, Motivala 2002): a direct probe, then
 * indirect ones through other members, then suspicion, which the member may refute.
 */
export abstract class ProbingDetector extends FailureDetector {
  private readonly probes = new Map<number, Probe>();

  private readonly relays = new Map<number, Relay>();

  private targets: VmId[] = [];

  private sequence = 0;

  private nextRoundMs: number;

  constructor(options: DetectorOptions) {
    super(options);
    this.nextRoundMs = performance.now() + options.random() * PROBE_PERIOD_MS;
  }

  /** Lists the members that this VM probes in turn. */
  protected abstract listTargets(): readonly VmId[];

  /** Gives the updates that go with the next message. */
  protected abstract takeUpdates(): readonly MemberUpdate[];

  /** Whether a suspicion is made known to others. */
  protected abstract readonly publishesSuspicion: boolean;

  protected override handleMembersChanged(): void {
    this.targets = [];
  }

  protected override handleOldDeath(vmId: VmId): void {
    if (this.listTargets().includes(vmId)) this.noteUnanswered(vmId);
  }

  protected override advance(nowMs: number): void {
    this.advanceProbes(nowMs);
    this.expireSuspects(nowMs);
    if (nowMs < this.nextRoundMs) return;
    this.nextRoundMs = nowMs + PROBE_PERIOD_MS;
    this.listSuspects().forEach((vmId) => this.sendPing(vmId, nowMs));
    this.takeTargets().forEach((vmId) => this.sendPing(vmId, nowMs));
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

  private forwardPing(asker: VmId, target: VmId, sequence: number): void {
    this.sequence += 1;
    this.relays.set(this.sequence, { asker, sequence, startedAtMs: performance.now() });
    this.sendMessage(target, 'ping', this.sequence);
  }

  private handleAck(sequence: number): void {
    const relay = this.relays.get(sequence);
    if (relay) this.sendMessage(relay.asker, 'ack', relay.sequence);
    this.relays.delete(sequence);
    const probe = this.probes.get(sequence);
    this.probes.delete(sequence);
    const member = probe && this.table.get(probe.vmId);
    if (member?.state === 'suspect') member.state = 'live';
  }

  private advanceProbes(nowMs: number): void {
    this.probes.forEach((probe, sequence) => {
      const waitedMs = nowMs - probe.startedAtMs;
      if (waitedMs >= INDIRECT_TIMEOUT_MS) {
        this.probes.delete(sequence);
        this.noteUnanswered(probe.vmId);
      } else if (waitedMs >= PROBE_TIMEOUT_MS && !probe.isIndirect) {
        this.probes.set(sequence, { ...probe, isIndirect: true });
        this.requestProbes(probe.vmId, sequence);
      }
    });
    this.relays.forEach((relay, sequence) => {
      if (nowMs - relay.startedAtMs >= INDIRECT_TIMEOUT_MS) this.relays.delete(sequence);
    });
  }

  private requestProbes(target: VmId, sequence: number): void {
    const helpers = this.listTargets().filter(
      (vmId) => vmId !== target && this.getState(vmId) === 'live',
    );
    this.pickSome(helpers, INDIRECT_PROBES).forEach((vmId) =>
      this.sendMessage(vmId, 'pingRequest', sequence, target),
    );
  }

  private noteUnanswered(vmId: VmId): void {
    const member = this.table.get(vmId);
    if (!member || member.state === 'dead' || member.state === 'suspect') return;
    if (member.state === 'leaving') {
      // It said that it would end; as a suspect it would be offered to callers again.
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
      .filter((member) => nowMs - member.suspectedAtMs >= SUSPICION_MS)
      .forEach((member) => this.markFailed(member, 'dead'));
  }

  private listSuspects(): readonly VmId[] {
    const targets = new Set(this.listTargets());
    return this.table
      .list()
      .filter((member) => member.state === 'suspect' && targets.has(member.vmId))
      .map((member) => member.vmId);
  }

  private takeTargets(): readonly VmId[] {
    if (this.targets.length === 0) {
      const live = this.listTargets().filter((vmId) => this.getState(vmId) !== 'suspect');
      this.targets = this.pickSome(live, live.length);
    }
    return this.targets.splice(0, PROBES_PER_PERIOD);
  }

  private pickSome(vmIds: readonly VmId[], count: number): VmId[] {
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
